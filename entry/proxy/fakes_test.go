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

// wallTimer is a core.Timer on the clock of the test.
type wallTimer struct{ start time.Time }

func (t wallTimer) After(d time.Duration) <-chan core.Instant {
	c := make(chan core.Instant, 1)
	time.AfterFunc(d, func() { c <- t.Now() })
	return c
}
func (t wallTimer) C() <-chan core.Instant                    { return nil }
func (t wallTimer) Now() core.Instant                         { return core.Instant(time.Since(t.start)) }
func (t wallTimer) Stop()                                     {}
func (t wallTimer) Subscribe(time.Duration) core.Subscription { return t }
func (t wallTimer) AllowHedge(string) bool                    { return true }
func (t wallTimer) AllowRetry(string) bool                    { return true }
func (t wallTimer) RecordAttempt(string)                      {}

// world stands for everything that a proxy asks: routes, slots, shifts and settings.
type world struct {
	hops     func(core.RouteRequest) (core.Hop, error)
	lease    time.Duration
	outcomes chan core.Outcome
	// paced is called with the number of admitted shifts while a request waits for bandwidth.
	paced   func(admitted int64)
	policy  core.EffectivePolicy
	shifts  atomic.Int64
	targets []string
	timer   wallTimer
}

func newWorld(targets ...string) *world {
	return &world{
		lease:    time.Minute,
		outcomes: make(chan core.Outcome, 100),
		policy: core.EffectivePolicy{
			DeadlineMs: 2000, IdempotencyAnswerBytes: 1 << 16, IdleSuspectMs: 1000, RequestBodyBytes: 1 << 20, TryTimeoutMs: 150,
		},
		targets: targets,
		timer:   wallTimer{time.Now()},
	}
}

func (w *world) Admit(_ context.Context, request core.AdmitRequest) (core.Grant, error) {
	for _, address := range w.targets {
		if !slices.Contains(request.Avoid, address) {
			return &grant{address: address, valid: w.timer.Now().Add(w.lease), world: w}, nil
		}
	}
	return nil, &core.RejectedError{Code: codes.QueueFull, Text: "full"}
}

func (w *world) ReserveShift(_, _, _ string) (core.ShiftGrant, error) {
	return &grant{valid: w.timer.Now().Add(w.lease), world: w}, nil
}

func (w *world) Current() *core.Snapshot {
	return &core.Snapshot{
		Policies:  map[string]map[string]core.EffectivePolicy{"board": {"z1": w.policy}},
		ServiceOf: map[string]string{"board.test": "board"},
	}
}

func (w *world) Route(request core.RouteRequest) (core.Hop, error) {
	if w.hops != nil {
		return w.hops(request)
	}
	if slices.Contains(request.TriedHosts, "a") {
		return core.Hop{}, &core.RejectedError{Code: codes.NoPermittedTarget, Text: "none left"}
	}
	return core.Hop{Kind: core.HopLocal}, nil
}

func (g *grant) Admit() error {
	g.world.shifts.Add(1)
	return nil
}

func (g *grant) PaceRequest(context.Context, int) error {
	if g.world.paced != nil {
		g.world.paced(g.world.shifts.Load())
	}
	return nil
}

func (g *grant) PaceResponse(context.Context, int) error { return nil }

type grant struct {
	address string
	valid   core.Instant
	world   *world
}

func (g *grant) Release(outcome core.Outcome) { g.world.outcomes <- outcome }
func (g *grant) Target() core.TargetRef {
	return core.TargetRef{Address: g.address, Connections: 4, Service: "board", Slots: 2, Target: g.address}
}
func (g *grant) ValidUntil() core.Instant { return g.valid }

// start serves a proxy over w and returns the URLs of its two addresses.
func (w *world) start(t *testing.T, host string, deduper core.Deduper) (string, string) {
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

// rawUpstream answers each connection with script, which returns when the connection is to be closed.
type rawUpstream struct {
	address  string
	requests atomic.Int64
}

func newRawUpstream(t *testing.T, script func(n int64, c net.Conn)) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &rawUpstream{address: listener.Addr().String()}
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

// answering is an upstream that reads one request per connection, writes text and closes the connection.
func answering(t *testing.T, text string) *rawUpstream {
	t.Helper()
	return newRawUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		_, _ = io.WriteString(c, text)
	})
}

// cancelled sends a POST whose caller goes away once started is closed.
func cancelled(t *testing.T, url, body, key string, started chan struct{}) {
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

// answer is what a caller received.
type answer struct {
	body    string
	header  http.Header
	status  int
	trailer http.Header
}

// summary returns the status, Ebony-Code and Ebony-Ran.
func (a answer) summary() string {
	return strconv.Itoa(a.status) + " " + a.header.Get("Ebony-Code") + " " + a.header.Get("Ebony-Ran")
}

// call sends one request and reads its whole response.
func call(t *testing.T, method, url, body string, header map[string]string) (answer, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Ebony-Service", "board")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{string(text), response.Header, response.StatusCode, response.Trailer}, err
}
