package intake_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/memory"
)

// TestBrokenResponsesLookBroken guards against a response that was given up and looks complete to a caller with HTTP/1.0, to which the end of the
// connection is the end of the response.
func TestBrokenResponsesLookBroken(t *testing.T) {
	give := func(broken bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "begin")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
			if broken {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, " end")
		}
	}
	for _, version := range []string{"1.0", "1.1"} {
		for _, guarded := range []bool{false, true} {
			for _, broken := range []bool{false, true} {
				t.Run(fmt.Sprintf("HTTP %s, broken %v, guarded %v", version, broken, guarded), func(t *testing.T) {
					_, address := start(t, give(broken))
					if guarded {
						address = startGuarded(t, memory.NewBudget(1<<20), 4, give(broken))
					}
					c := dial(t, address)
					_, err := io.WriteString(c, "GET / HTTP/"+version+"\r\nHost: x\r\nConnection: close\r\n\r\n")
					assert.NilError(t, err)
					response, err := http.ReadResponse(c.reader, nil)
					assert.NilError(t, err)
					body, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					assert.Equal(t, err != nil, broken, "%q: %v", body, err)
				})
			}
		}
	}
}
