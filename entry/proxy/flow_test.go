package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBytesInFlight guards against a target that is sent more bytes of bodies at the same time than it can hold, against a refusal
// before other bodies had time to end, and against bytes that stay counted.
func TestBytesInFlight(t *testing.T) {
	const bodyBytes = 900 << 10
	cases := map[string]struct {
		work time.Duration
		// served is the number of the four requests that are served; at most two of them fit at the same time.
		served int
	}{
		"others end in time": {200 * time.Millisecond, 4},
		"others take long":   {1500 * time.Millisecond, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var held, most, served, refused atomic.Int64
			up := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				for n := held.Add(r.ContentLength); ; {
					if old := most.Load(); n <= old || most.CompareAndSwap(old, n) {
						break
					}
				}
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(c.work)
				held.Add(-r.ContentLength)
			}))
			defer up.Close()
			fx := newFixture(up.Listener.Addr().String())
			fx.policy.TryTimeoutMs = 2000
			url, _ := fx.start(t, "a", nil)
			var tasks sync.WaitGroup
			send := func() {
				got, err := call(t, "POST", url, strings.Repeat("x", bodyBytes), nil)
				if err != nil {
					return
				}
				switch {
				case got.status == http.StatusOK:
					served.Add(1)
				case got.status == http.StatusServiceUnavailable && got.header.Get("Ebony-Ran") == "no":
					refused.Add(1)
				}
			}
			for range 4 {
				tasks.Go(send)
			}
			tasks.Wait()
			assert.Equal(t, served.Load(), int64(c.served))
			assert.Equal(t, refused.Load(), int64(4-c.served))
			assert.Assert(t, most.Load() <= targetBodies*fx.policy.RequestBodyBytes, "%d bytes", most.Load())
			send()
			assert.Equal(t, served.Load(), int64(c.served)+1, "bytes stay counted")
		})
	}
}
