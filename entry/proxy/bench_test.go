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

// Guards against a header that is not removed because its name in the list differs from the form that is sent.
func TestRemovedHeadersAreCanonical(t *testing.T) {
	for _, name := range append(append([]string{}, hopByHopHeaders...), internalHeaders...) {
		assert.Equal(t, name, textproto.CanonicalMIMEHeaderKey(name))
	}
}

// systemClockFixture admits with leases on the system's clock.
type systemClockFixture struct {
	*fixture
	clock core.Timer
}

func (c *systemClockFixture) Admit(_ context.Context, _ core.AdmitRequest) (core.Grant, error) {
	return &fakeGrant{address: c.targets[0], valid: c.clock.Now().Add(c.lease), world: c.fixture}, nil
}

// BenchmarkForward measures one request on kept-alive connections, straight to an upstream and through a proxy.
func BenchmarkForward(b *testing.B) {
	clock, err := timer.NewSystem()
	assert.NilError(b, err)
	body := make([]byte, 1024)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer up.Close()
	w := newFixture(up.Listener.Addr().String())
	w.outcomes = make(chan core.Outcome)
	go func() {
		for range w.outcomes {
		}
	}()
	defer close(w.outcomes)
	p := New(Config{
		Admitter: &systemClockFixture{w, clock}, Budget: w.timer, Router: w, Settings: w, Shifter: w, Timer: clock,
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
