package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
)

// TestRemovedHeadersAreCanonical guards against a header that is passed on because its name in the list is not in
// canonical form.
func TestRemovedHeadersAreCanonical(t *testing.T) {
	for _, name := range append(append([]string{}, hopByHopHeaders...), internalHeaders...) {
		assert.Equal(t, name, textproto.CanonicalMIMEHeaderKey(name))
	}
}

// systemClockFixture admits requests with leases on the system clock.
type systemClockFixture struct {
	*fixture
	clock core.Timer
}

func (c *systemClockFixture) Admit(_ context.Context, _ core.AdmitRequest) (core.Grant, error) {
	return &fakeGrant{address: c.targets[0], valid: c.clock.Now().Add(c.lease), fixture: c.fixture}, nil
}

// BenchmarkForward measures one request on kept-alive connections, sent directly to an upstream and through a proxy.
func BenchmarkForward(b *testing.B) {
	clock, err := timer.NewSystem()
	assert.NilError(b, err)
	body := make([]byte, 1024)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer up.Close()
	fx := newFixture(up.Listener.Addr().String())
	fx.outcomes = make(chan core.Outcome)
	go func() {
		for range fx.outcomes {
		}
	}()
	defer close(fx.outcomes)
	p := New(Config{
		Admitter: &systemClockFixture{fx, clock}, Budget: fx.timer, Router: fx, Settings: fx, Shifter: fx, Timer: clock,
		Self: core.Host{Host: "a", Region: "r1", Zone: "z1"},
	})
	defer func() { _ = p.Close() }()
	entry := httptest.NewServer(p.CallerHandler())
	defer entry.Close()
	for name, url := range map[string]string{"direct": up.URL, "proxy": entry.URL} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, http.NoBody)
				assert.NilError(b, err)
				request.Header.Set("Ebony-Service", "board")
				response, err := http.DefaultClient.Do(request)
				assert.NilError(b, err)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
