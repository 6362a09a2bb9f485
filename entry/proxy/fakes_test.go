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

// testTimer is a core.Timer that starts with the test, and a core.RetryBudget that permits everything.
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

// fixture implements the dependencies of a proxy: routes, slots, shifts and settings.
type fixture struct {
	hops     func(core.RouteRequest) (core.Hop, error)
	lease    time.Duration
	outcomes chan core.Outcome
	// paced is called with the number of admitted shift requests when a request waits for bandwidth.
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

func (fx *fixture) Admit(_ context.Context, request core.AdmitRequest) (core.Grant, error) {
	for _, address := range fx.targets {
		if !slices.Contains(request.Avoid, address) {
			return &fakeGrant{address: address, valid: fx.timer.Now().Add(fx.lease), fixture: fx}, nil
		}
	}
	return nil, &core.RejectedError{Code: codes.QueueFull, Text: "full"}
}

func (fx *fixture) ReserveShift(_, _, _ string) (core.ShiftGrant, error) {
	return &fakeGrant{valid: fx.timer.Now().Add(fx.lease), fixture: fx}, nil
}

func (fx *fixture) Current() *core.Snapshot {
	return &core.Snapshot{
		Policies:  map[string]map[string]core.EffectivePolicy{"board": {"z1": fx.policy}},
		ServiceOf: map[string]string{"board.test": "board"},
	}
}

func (fx *fixture) Route(request core.RouteRequest) (core.Hop, error) {
	if fx.hops != nil {
		return fx.hops(request)
	}
	if slices.Contains(request.TriedHosts, "a") {
		return core.Hop{}, &core.RejectedError{Code: codes.NoPermittedTarget, Text: "none left"}
	}
	return core.Hop{Kind: core.HopLocal}, nil
}

func (g *fakeGrant) Admit() error {
	g.fixture.shifts.Add(1)
	return nil
}

func (g *fakeGrant) PaceRequest(context.Context, int) error {
	if g.fixture.paced != nil {
		g.fixture.paced(g.fixture.shifts.Load())
	}
	return nil
}

func (g *fakeGrant) PaceResponse(context.Context, int) error { return nil }

// fakeGrant is a grant or shift grant that reports its use to its fixture.
type fakeGrant struct {
	address string
	valid   core.Instant
	fixture *fixture
}

func (g *fakeGrant) Release(outcome core.Outcome) { g.fixture.outcomes <- outcome }
func (g *fakeGrant) Target() core.TargetRef {
	return core.TargetRef{Address: g.address, Connections: 4, Service: "board", Slots: 2, Target: g.address}
}
func (g *fakeGrant) ValidUntil() core.Instant { return g.valid }

// start serves a proxy with the fixture and returns the URLs of its caller and relay addresses.
func (fx *fixture) start(t *testing.T, host string, deduper core.Deduper) (string, string) {
	t.Helper()
	p := New(Config{
		Admitter: fx, Budget: fx.timer, Deduper: deduper, Router: fx, Settings: fx, Shifter: fx, Timer: fx.timer,
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

// scriptedUpstream runs a script for each connection and closes the connection when the script returns.
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

// newFixedUpstream starts an upstream that reads one request per connection, writes text and closes the connection.
func newFixedUpstream(t *testing.T, text string) *scriptedUpstream {
	t.Helper()
	return newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		_, _ = io.WriteString(c, text)
	})
}

// newKeptUpstream starts an upstream that responds with text to each request of a connection and leaves the connection open. A request
// on an idle connection that the upstream closes at the same moment may have run, so that tests of one response after another need it.
func newKeptUpstream(t *testing.T, text string) *scriptedUpstream {
	t.Helper()
	return newScriptedUpstream(t, func(_ int64, c net.Conn) {
		for readRequest(c) == nil {
			_, _ = io.WriteString(c, text)
		}
	})
}

// cancelCall sends a POST and cancels it when started is closed.
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
	_, err = http.DefaultClient.Do(request) //nolint:bodyclose // The call fails, so there is no body.
	assert.Assert(t, err != nil)
}

// callerResponse is a response as a caller received it.
type callerResponse struct {
	body    string
	header  http.Header
	status  int
	trailer http.Header
}

// summary returns the status, Ebony-Code and Ebony-Ran, separated by spaces.
func (r callerResponse) summary() string {
	return strconv.Itoa(r.status) + " " + r.header.Get("Ebony-Code") + " " + r.header.Get("Ebony-Ran")
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
