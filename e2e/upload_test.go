package e2e_test

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

// slowBody is a request body that returns its chunks with pauses, as from a caller on a slow link.
type slowBody struct {
	chunks int
	pause  time.Duration
}

// uploadChunk is the maximum size of a chunk in bytes.
const uploadChunk = 32 << 10

// Read implements io.Reader.Read.
func (b *slowBody) Read(data []byte) (int, error) {
	if b.chunks == 0 {
		return 0, io.EOF
	}
	b.chunks--
	time.Sleep(b.pause)
	return copy(data, strings.Repeat("x", min(len(data), uploadChunk))), nil
}

// Guards against uploads that fail because they outlast a single confirmation of the owner's lease, or because the
// host that serves them shuts down gracefully.
func TestSlowUpload(t *testing.T) {
	t.Parallel()
	s := faultSpec()
	deadline := int64(8000)
	s.Policy.DeadlineMs = &deadline
	d := deploy(t, s)
	tests := map[string]struct {
		host  *fleet.Host
		stops bool
	}{
		"host of the first zone":  {host: d.Hosts[0]},
		"host of the second zone": {host: d.Hosts[2]},
		"host that stops":         {host: d.Hosts[1], stops: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.stops {
				time.AfterFunc(time.Second, func() { assert.Check(t, test.host.Entry.Signal(syscall.SIGTERM)) })
			}
			body := &slowBody{chunks: 20, pause: 250 * time.Millisecond}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+test.host.CallerAddress+"/work", body)
			assert.NilError(t, err)
			request.Header.Set(core.HeaderService, "booking")
			r, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer func() { _ = r.Body.Close() }()
			text, err := io.ReadAll(r.Body)
			assert.NilError(t, err)
			assert.Equal(t, r.Header.Get(core.HeaderCode)+" "+r.Header.Get(core.HeaderRan), "1000 yes", "%s", text)
		})
	}
}
