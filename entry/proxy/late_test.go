package proxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestResponseAfterPause guards against reporting a timeout for a response that arrived while this process was paused
// past the deadline. The expired read deadline is noticed before the data.
func TestResponseAfterPause(t *testing.T) {
	for name, method := range map[string]string{"idempotent": http.MethodGet, "not idempotent": http.MethodPost} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
				_, _ = io.WriteString(c, okResponse)
				close(arrived)
				_, _ = io.Copy(io.Discard, c)
			})
			raw, err := net.Dial("tcp", up.address)
			assert.NilError(t, err)
			defer func() { _ = raw.Close() }()
			<-arrived
			time.Sleep(50 * time.Millisecond)
			fx := newFixture()
			p := New(Config{Log: zap.NewNop(), Timer: fx.timer})
			defer func() { _ = p.Close() }()
			now := fx.timer.Now()
			c := newConn(raw, &pool{timer: fx.timer}, fx.timer)
			c.begin(now.Add(-time.Second), now.Add(-2*time.Second), nil)
			req := &request{deadline: now.Add(-time.Second), incoming: httptest.NewRequest(method, "/", nil)}
			result := &attemptResult{conn: c, ran: core.RanUnknown}
			assert.NilError(t, p.awaitHead(req, result, req.incoming))
			defer func() { _ = result.response.Body.Close() }()
			assert.Equal(t, result.response.StatusCode, http.StatusOK)
			_, err = io.ReadAll(result.response.Body)
			assert.NilError(t, err)
		})
	}
}
