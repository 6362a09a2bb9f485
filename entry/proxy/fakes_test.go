package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// testTimer is a core.Timer on the clock of the test.
type testTimer struct{ start time.Time }

func (t testTimer) After(d time.Duration) <-chan core.Instant {
	c := make(chan core.Instant, 1)
	time.AfterFunc(d, func() { c <- t.Now() })
	return c
}
func (t testTimer) C() <-chan core.Instant                    { return nil }
func (t testTimer) Now() core.Instant                         { return core.Instant(time.Since(t.start)) }
func (t testTimer) Stop()                                     {}
func (t testTimer) Subscribe(time.Duration) core.Subscription { return t }
func (t testTimer) AllowHedge(string) bool                    { return true }
func (t testTimer) AllowRetry(string) bool                    { return true }
func (t testTimer) RecordAttempt(string)                      {}

// fixture stands for everything that a proxy asks: routes, slots, shifts and settings.
type fixture struct {
	hops     func(core.RouteRequest) (core.Hop, error)
	lease    time.Duration
	outcomes chan core.Outcome
	// paced is called with the number of admitted shifts while a request waits for bandwidth.
	paced   func(admitted int64)
	policy  core.EffectivePolicy
	shifts  atomic.Int64
	targets []string
	timer   testTimer
}

func newFixture(targets ...string) *fixture {
	return &fixture{
		lease:    time.Minute,
		outcomes: make(chan core.Outcome, 100),
		policy: core.EffectivePolicy{
			DeadlineMs: 2000, IdempotencyAnswerBytes: 1 << 16, IdleSuspectMs: 1000, RequestBodyBytes: 1 << 20, TryTimeoutMs: 150,
		},
		targets: targets,
		timer:   testTimer{time.Now()},
	}
}

func (w *fixture) Admit(_ context.Context, request core.AdmitRequest) (core.Grant, error) {
	for _, address := range w.targets {
		if !slices.Contains(request.Avoid, address) {
			return &fakeGrant{address: address, valid: w.timer.Now().Add(w.lease), world: w}, nil
		}
	}
	return nil, &core.RejectedError{Code: codes.QueueFull, Text: "full"}
}

func (w *fixture) ReserveShift(_, _, _ string) (core.ShiftGrant, error) {
	return &fakeGrant{valid: w.timer.Now().Add(w.lease), world: w}, nil
}

func (w *fixture) Current() *core.Snapshot {
	return &core.Snapshot{
		Policies:  map[string]map[string]core.EffectivePolicy{"board": {"z1": w.policy}},
		ServiceOf: map[string]string{"board.test": "board"},
	}
}

func (w *fixture) Route(request core.RouteRequest) (core.Hop, error) {
	if w.hops != nil {
		return w.hops(request)
	}
	if slices.Contains(request.TriedHosts, "a") {
		return core.Hop{}, &core.RejectedError{Code: codes.NoPermittedTarget, Text: "none left"}
	}
	return core.Hop{Kind: core.HopLocal}, nil
}

func (g *fakeGrant) Admit() error {
	g.world.shifts.Add(1)
	return nil
}

func (g *fakeGrant) PaceRequest(context.Context, int) error {
	if g.world.paced != nil {
		g.world.paced(g.world.shifts.Load())
	}
	return nil
}

func (g *fakeGrant) PaceResponse(context.Context, int) error { return nil }

type fakeGrant struct {
	address string
	valid   core.Instant
	world   *fixture
}

func (g *fakeGrant) Release(outcome core.Outcome) { g.world.outcomes <- outcome }
func (g *fakeGrant) Target() core.TargetRef {
	return core.TargetRef{Address: g.address, Connections: 4, Service: "board", Slots: 2, Target: g.address}
}
func (g *fakeGrant) ValidUntil() core.Instant { return g.valid }

// start serves a proxy over w and returns the URLs of its two addresses.
func (w *fixture) start(t *testing.T, host string, deduper core.Deduper) (string, string) {
	t.Helper()
	p := New(Config{
		Admitter: w, Budget: w.timer, Deduper: deduper, Router: w, Settings: w, Shifter: w, Timer: w.timer,
		Self: core.Host{Host: host, Region: "r1", Zone: "z1"},
	})
	caller := httptest.NewServer(p.CallerHandler())
	relay := httptest.NewServer(p.RelayHandler())
	t.Cleanup(func() {
		caller.Close()
		relay.Close()
		_ = p.Close()
	})
	return caller.URL, relay.URL
}

// scriptedUpstream answers each connection with script, which returns when the connection is to be closed.
type scriptedUpstream struct {
	address  string
	requests atomic.Int64
}

func newScriptedUpstream(t *testing.T, script func(n int64, c net.Conn)) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &scriptedUpstream{address: listener.Addr().String()}
	var tasks sync.WaitGroup
	var open sync.Map
	tasks.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			open.Store(c, nil)
			tasks.Go(func() {
				defer func() { _ = c.Close() }()
				script(u.requests.Add(1), c)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		open.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true })
		tasks.Wait()
	})
	return u
}

// newFixedUpstream is an upstream that reads one request per connection, writes text and closes the connection.
func newFixedUpstream(t *testing.T, text string) *scriptedUpstream {
	t.Helper()
	return newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		_, _ = io.WriteString(c, text)
	})
}

// cancelCall sends a POST whose caller goes away once started is closed.
func cancelCall(t *testing.T, url, body, key string, started chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Ebony-Service", "board")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	go func() { <-started; cancel() }()
	_, err = http.DefaultClient.Do(request) //nolint:bodyclose // The call fails, so that there is no body.
	assert.Assert(t, err != nil)
}

// callerResponse is what a caller received.
type callerResponse struct {
	body    string
	header  http.Header
	status  int
	trailer http.Header
}

// summary returns the status, Ebony-Code and Ebony-Ran.
func (a callerResponse) summary() string {
	return strconv.Itoa(a.status) + " " + a.header.Get("Ebony-Code") + " " + a.header.Get("Ebony-Ran")
}

// call sends one request and reads its whole response.
func call(t *testing.T, method, url, body string, header map[string]string) (callerResponse, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Ebony-Service", "board")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callerResponse{string(text), response.Header, response.StatusCode, response.Trailer}, err
}
