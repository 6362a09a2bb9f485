package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// testDialect is a dialect whose headers begin with X-.
type testDialect struct{}

func (testDialect) ReadResponse(status int, header http.Header) core.UpstreamResponse {
	return core.UpstreamResponse{
		NotRun: header.Get("X-Not-Run") != "", OtherTarget: status == http.StatusMisdirectedRequest,
		RequestID: header.Get("X-Id"), Unverified: status == http.StatusOK && header.Get("X-Mark") == "",
	}
}

func (testDialect) ReadRequest(header http.Header) (core.CallerRequest, error) {
	return core.CallerRequest{RequestID: header.Get("X-Id")}, nil
}

func (testDialect) Prepare(header http.Header, attempt core.UpstreamAttempt) {
	header.Set("X-Target", attempt.TargetID)
}

func (testDialect) SetRetryAfter(header http.Header, retryAfter time.Duration) {
	header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
}

// startRouted serves a proxy with testDialect and one route, and returns its URL.
func startRouted(t *testing.T, fx *fixture, idempotent bool) string {
	t.Helper()
	p := New(Config{
		Admitter: fx, Budget: fx.timer, Dialect: testDialect{}, PrefetchBytes: 1 << 10, Router: fx, Settings: routedFixture{fx, idempotent},
		Self: core.Host{Host: "a", Region: "r1", Zone: "z1"}, Timer: fx.timer,
	})
	caller := httptest.NewServer(p.CallerHandler())
	t.Cleanup(func() {
		caller.Close()
		_ = p.Close()
	})
	return caller.URL
}

// routedFixture adds a route to the settings of a fixture.
type routedFixture struct {
	*fixture
	idempotent bool
}

func (r routedFixture) Current() *core.Snapshot {
	s := r.fixture.Current()
	s.Routes = core.NewRoutePlan([]core.RouteSettings{{
		Backends: []core.BackendSettings{{Service: "board", Weight: 1}}, HostName: "127.0.0.1", Idempotent: r.idempotent,
		MaxAttempts: 2, Name: "r-1", PathPrefix: "/board/", TimeoutMs: 2000,
	}})
	return s
}

// dialectResponse returns a complete response of a target to the request with the given ID.
func dialectResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestDialect guards against accepting a response to another request or one that no target sent, and against false
// claims that a request was not run.
func TestDialect(t *testing.T) {
	truncated := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Mark: m\r\nContent-Length: 40\r\n\r\nhalf"
	shed := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	other := "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	failed := "HTTP/1.1 500 Internal Server Error\r\nX-Id: 1\r\nX-Mark: m\r\nContent-Length: 4\r\n\r\noops"
	cases := map[string]struct {
		path       string
		idempotent bool
		first      string
		status     int
		body       string
		// second is the number of requests that the second target receives.
		second int64
	}{
		"own response":                        {"/board/1", false, dialectResponse("1", "ok"), 200, "ok", 0},
		"response to another request":         {"/board/1", false, dialectResponse("0", "foreign") + dialectResponse("1", "ok"), 200, "ok", 0},
		"other requests only, not idempotent": {"/board/1", false, dialectResponse("0", "foreign"), 502, "", 0},
		"other requests only, idempotent":     {"/board/1", true, dialectResponse("0", "foreign"), 200, "second", 1},
		"without mark, not idempotent":        {"/board/1", false, okResponse, 502, "", 0},
		"without mark, idempotent":            {"/board/1", true, okResponse, 200, "second", 1},
		"truncated, not idempotent":           {"/board/1", false, truncated, 502, "", 0},
		"truncated, idempotent":               {"/board/1", true, truncated, 200, "second", 1},
		"not run":                             {"/board/1", false, shed, 200, "second", 1},
		"other target":                        {"/board/1", false, other, 200, "second", 1},
		"server error, not idempotent":        {"/board/1", false, failed, 500, "oops", 0},
		"server error, idempotent":            {"/board/1", true, failed, 200, "second", 1},
		"no route":                            {"/x", true, okResponse, 404, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first := newFixedUpstream(t, c.first)
			second := newFixedUpstream(t, dialectResponse("1", "second"))
			url := startRouted(t, newFixture(first.address, second.address), c.idempotent)
			got, err := call(t, http.MethodPost, url+c.path, "body", map[string]string{"X-Id": "1"})
			assert.NilError(t, err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, second.requests.Load(), c.second)
			if c.body != "" {
				assert.Equal(t, got.body, c.body)
			}
		})
	}
}

// TestAllTargetsShed guards against passing on the rejection of a single target as the response of the deployment.
func TestAllTargetsShed(t *testing.T) {
	shed := "HTTP/1.1 429 Too Many Requests\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	first, second := newFixedUpstream(t, shed), newFixedUpstream(t, shed)
	url := startRouted(t, newFixture(first.address, second.address), false)
	got, err := call(t, http.MethodPost, url+"/board/1", "body", map[string]string{"X-Id": "1"})
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get(core.HeaderRan), string(core.RanNo))
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestKeepAliveIsHonoured guards against requests on connections that the target is about to close.
func TestKeepAliveIsHonoured(t *testing.T) {
	cases := map[string]struct {
		header string
		age    time.Duration
		want   bool
	}{
		"no header":                {"", 3 * time.Second, true},
		"past idle limit":          {"", 11 * time.Second, false},
		"within announced timeout": {"timeout=5, max=100", 3 * time.Second, true},
		"past announced timeout":   {"timeout=5", 4500 * time.Millisecond, false},
		"short timeout":            {"max=3, timeout=1", 400 * time.Millisecond, true},
		"malformed":                {"timeout=x", 3 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			idle := &conn{}
			idle.recordKeepAlive(http.Header{"Keep-Alive": {c.header}})
			assert.Equal(t, idle.reusable(core.Instant(c.age), 10*time.Second), c.want)
		})
	}
}

// TestSplitFollowsWeights guards against traffic shares of a route's services that deviate from their weights.
func TestSplitFollowsWeights(t *testing.T) {
	route := &core.RouteSettings{Backends: []core.BackendSettings{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	var s splitter
	snapshot := &core.Snapshot{}
	counts := map[string]int{}
	for n := 1; n <= 200; n++ {
		counts[s.choose(snapshot, route)]++
		assert.Assert(t, counts["b"]*10 <= n+10 && counts["b"]*10 >= n-10, "after %d requests: %v", n, counts)
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 180, "b": 20})
}

// TestRejectionAfterRunIsNotReportedAsNotRun guards against reporting a request as not run when one target has run it, or may have
// run it, and the next target rejected it.
func TestRejectionAfterRunIsNotReportedAsNotRun(t *testing.T) {
	cases := map[string]string{
		"truncated response": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Mark: m\r\nContent-Length: 40\r\n\r\nhalf",
		"failed":             "HTTP/1.1 500 Internal Server Error\r\nX-Id: 1\r\nX-Mark: m\r\nContent-Length: 4\r\n\r\noops",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			first := newFixedUpstream(t, text)
			second := newFixedUpstream(t, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			url := startRouted(t, newFixture(first.address, second.address), true)
			got, err := call(t, http.MethodPost, url+"/board/1", "body", map[string]string{"X-Id": "1"})
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, got.header.Get("Retry-After"), "")
			assert.Equal(t, got.header.Get(core.HeaderRan), string(core.RanUnknown))
		})
	}
}
