package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// keyedFixture is a fixture whose settings require keys. It counts calls of core.FreshnessChecker and core.QuotaLimiter and takes
// their results from its fields.
type keyedFixture struct {
	*fixture
	await      func(revision int64) error
	check      func(revision int64) error
	take       func(customer *core.CustomerSettings) error
	awaits     atomic.Int64
	checks     atomic.Int64
	takes      atomic.Int64
	idempotent bool
	snapshot   atomic.Pointer[core.Snapshot]
	mutex      sync.Mutex
	admitted   []core.AdmitRequest
}

func newKeyedFixture(targets ...string) *keyedFixture {
	fx := &keyedFixture{fixture: newFixture(targets...), idempotent: true}
	// No test of keys is about slow upstreams; the short attempt timeout of the fixture ends attempts on a busy machine.
	fx.policy.TryTimeoutMs = 2000
	rank := int64(2)
	fx.set(1, true, core.CustomerSettings{HomeRegions: []string{"r1"}, KeyDigests: []string{core.DigestKey("k1").String()}, Name: "a", Priority: &rank})
	return fx
}

// set puts settings with a private, a public and a foreign route in force.
func (fx *keyedFixture) set(revision int64, requireKeys bool, customers ...core.CustomerSettings) {
	route := func(prefix string, public bool, homes ...string) core.RouteSettings {
		return core.RouteSettings{
			Backends: []core.BackendSettings{{Service: "board", Weight: 1}}, HomeRegions: homes, HostName: "127.0.0.1", Idempotent: fx.idempotent,
			MaxAttempts: 2, Name: prefix, PathPrefix: prefix, Priority: 1, Public: public, TimeoutMs: 2000,
		}
	}
	s := fx.fixture.Current()
	s.Head.Revision = revision
	s.Settings.RequireKeys = requireKeys
	s.Customers = core.NewCustomerPlan(customers)
	s.Routes = core.NewRoutePlan([]core.RouteSettings{route("/private/", false), route("/public/", true), route("/foreign/", false, "r2")})
	fx.snapshot.Store(s)
}

func (fx *keyedFixture) Current() *core.Snapshot { return fx.snapshot.Load() }

func (fx *keyedFixture) Admit(ctx context.Context, request core.AdmitRequest) (core.Grant, error) {
	fx.mutex.Lock()
	fx.admitted = append(fx.admitted, request)
	fx.mutex.Unlock()
	return fx.fixture.Admit(ctx, request)
}

func (fx *keyedFixture) Await(_ context.Context, revision int64) error {
	fx.awaits.Add(1)
	if fx.await == nil {
		return nil
	}
	return fx.await(revision)
}

func (fx *keyedFixture) Check(revision int64) error {
	fx.checks.Add(1)
	if fx.check == nil {
		return nil
	}
	return fx.check(revision)
}

func (fx *keyedFixture) Take(customer *core.CustomerSettings) error {
	fx.takes.Add(1)
	if fx.take == nil {
		return nil
	}
	return fx.take(customer)
}

// startKeyed serves a proxy with the fixture and returns it with the URL of its caller address.
func (fx *keyedFixture) startKeyed(t *testing.T, dialect core.Dialect, router core.Router) (*Proxy, string, string) {
	t.Helper()
	p := New(Config{
		Admitter: fx, Budget: fx.timer, Dialect: dialect, Freshness: fx, Quotas: fx, Router: router, Settings: fx, Shifter: fx,
		Self: core.Host{Host: "a", Region: "r1", Zone: "z1"}, Timer: fx.timer,
	})
	caller, relay := httptest.NewServer(p.CallerHandler()), httptest.NewServer(p.RelayHandler())
	t.Cleanup(func() {
		caller.Close()
		relay.Close()
		_ = p.Close()
	})
	return p, caller.URL, relay.URL
}

// recordingUpstream answers each request with 200 and records its headers and trailers.
type recordingUpstream struct {
	*scriptedUpstream
	received chan *http.Request
}

func newRecordingUpstream(t *testing.T) recordingUpstream {
	t.Helper()
	u := recordingUpstream{received: make(chan *http.Request, 10)}
	u.scriptedUpstream = newScriptedUpstream(t, func(_ int64, c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			in, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, in.Body)
			u.received <- in
			_, _ = io.WriteString(c, dialectResponse("1", "ok"))
		}
	})
	return u
}

func unproven() error {
	return &core.RejectedError{Code: codes.SettingsUnproven, RetryAfter: 100 * time.Millisecond, Text: "no proof"}
}

// TestKeysOfRequests guards against requests that run without a known key, against proofs and quotas that are asked for too often or
// not at all, and against refusals with a wrong status.
func TestKeysOfRequests(t *testing.T) {
	overQuota := func(*core.CustomerSettings) error {
		return &core.RejectedError{Code: codes.QuotaExceeded, RetryAfter: 250 * time.Millisecond, Text: "over quota"}
	}
	refuse := func(int64) error { return unproven() }
	cases := map[string]struct {
		path, key             string
		await                 func(int64) error
		take                  func(*core.CustomerSettings) error
		want                  string
		awaits, takes, checks int64
		ran                   int64
		retryAfter            string
	}{
		"known key":               {path: "/private/1", key: "Bearer k1", want: "200 1000 yes", awaits: 1, takes: 1, checks: 1, ran: 1},
		"unknown key":             {path: "/private/1", key: "Bearer k2", want: "401 2008 no"},
		"no key":                  {path: "/private/1", want: "401 2008 no"},
		"public without a key":    {path: "/public/1", want: "200 1000 yes", ran: 1},
		"public, unknown key":     {path: "/public/1", key: "Bearer k2", want: "200 1000 yes", ran: 1},
		"public, known key":       {path: "/public/1", key: "Bearer k1", want: "200 1000 yes", ran: 1},
		"no route, no key":        {path: "/", want: "404 2007 no"},
		"no common home region":   {path: "/foreign/1", key: "Bearer k1", want: "503 3001 no", retryAfter: "1.000"},
		"not proven":              {path: "/private/1", key: "Bearer k1", await: refuse, want: "503 3013 no", awaits: 1, retryAfter: "0.100"},
		"not proven, public":      {path: "/public/1", key: "Bearer k1", await: refuse, want: "200 1000 yes", ran: 1},
		"not proven, unknown key": {path: "/private/1", key: "Bearer k2", await: refuse, want: "401 2008 no"},
		"over quota":              {path: "/private/1", key: "Bearer k1", take: overQuota, want: "429 3012 no", awaits: 1, takes: 1, retryAfter: "0.250"},
		"over quota, public":      {path: "/public/1", key: "Bearer k1", take: overQuota, want: "200 1000 yes", ran: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			up := newRecordingUpstream(t)
			fx := newKeyedFixture(up.address)
			fx.await, fx.take = c.await, c.take
			_, url, _ := fx.startKeyed(t, testDialect{}, fx)
			got, err := call(t, "POST", url+c.path, "body", map[string]string{"Authorization": c.key, "X-Id": "1"})
			assert.NilError(t, err)
			assert.Equal(t, got.summary(), c.want)
			assert.Equal(t, got.header.Get("Retry-After"), c.retryAfter)
			assert.Equal(t, got.header.Get("WWW-Authenticate") == "Bearer", got.status == http.StatusUnauthorized)
			assert.DeepEqual(t, []int64{fx.awaits.Load(), fx.takes.Load(), fx.checks.Load()}, []int64{c.awaits, c.takes, c.checks})
			assert.Equal(t, up.requests.Load(), c.ran)
			assert.Assert(t, !strings.Contains(got.body, "k1") && !strings.Contains(got.body, "k2"), "the response contains the key")
		})
	}
}

// TestNoSettings guards against a host that answers 401 to a valid key because it has no settings yet.
func TestNoSettings(t *testing.T) {
	fx := newKeyedFixture()
	fx.snapshot.Store(nil)
	_, url, _ := fx.startKeyed(t, testDialect{}, fx)
	got, err := call(t, "POST", url+"/private/1", "body", map[string]string{"Authorization": "Bearer k1"})
	assert.NilError(t, err)
	assert.Equal(t, got.summary(), "503 3005 no")
}

// TestCustomerLimits guards against a placement that does not learn the customer's name, rank or home regions.
func TestCustomerLimits(t *testing.T) {
	cases := map[string]struct {
		path, name string
		priority   int64
		homes      []string
	}{
		"private": {"/private/1", "a", 2, []string{"r1"}},
		"public":  {"/public/1", "", 1, []string{"r1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fx := newKeyedFixture(newRecordingUpstream(t).address)
			_, url, _ := fx.startKeyed(t, testDialect{}, fx)
			_, err := call(t, "POST", url+c.path, "body", map[string]string{"Authorization": "Bearer k1", "X-Id": "1", "Ebony-Tenant": "other"})
			assert.NilError(t, err)
			assert.Equal(t, fx.admitted[0].Tenant, c.name)
			assert.Equal(t, fx.admitted[0].Priority, c.priority)
			assert.DeepEqual(t, fx.admitted[0].HomeRegions, c.homes)
		})
	}
}

// TestIdentityAtUpstream guards against a key that reaches an upstream, against a customer's name that its caller made up, and against
// headers that are changed where the settings require no keys.
func TestIdentityAtUpstream(t *testing.T) {
	cases := map[string]struct {
		path, key     string
		requireKeys   bool
		authorization string
		tenant        string
	}{
		"known key":         {"/private/1", "Bearer k1", true, "", "a"},
		"public, known key": {"/public/1", "Bearer k1", true, "", ""},
		"public, no key":    {"/public/1", "", true, "", ""},
		"no keys required":  {"/private/1", "Bearer x", false, "Bearer x", "forged"},
	}
	for name, c := range cases {
		for _, body := range []string{"", "body", strings.Repeat("b", 100<<10)} {
			t.Run(name, func(t *testing.T) {
				up := newRecordingUpstream(t)
				fx := newKeyedFixture(up.address)
				if !c.requireKeys {
					fx.set(1, false)
				}
				_, url, _ := fx.startKeyed(t, nil, fx)
				request, err := http.NewRequestWithContext(t.Context(), "POST", url+c.path, io.MultiReader(strings.NewReader(body)))
				assert.NilError(t, err)
				request.Header.Set("Ebony-Tenant", "forged")
				request.Trailer = http.Header{"Ebony-Tenant": {"forged"}}
				if c.key != "" {
					request.Header.Set("Authorization", c.key)
				}
				response, err := http.DefaultClient.Do(request)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.StatusCode, 200)
				received := <-up.received
				assert.Equal(t, received.Header.Get("Authorization"), c.authorization)
				assert.Equal(t, strings.Join(received.Header["Ebony-Tenant"], ","), c.tenant)
				if c.requireKeys {
					assert.Equal(t, received.Trailer.Get("Ebony-Tenant"), "")
				}
			})
		}
	}
}

// TestRelayedIdentity guards against a key that reaches another entry process, and against a relayed request that is asked for its key.
func TestRelayedIdentity(t *testing.T) {
	up := newRecordingUpstream(t)
	owner := newKeyedFixture(up.address)
	owner.hops = func(core.RouteRequest) (core.Hop, error) { return core.Hop{Kind: core.HopLocal}, nil }
	_, _, ownerRelay := owner.startKeyed(t, nil, owner)
	receiver := newKeyedFixture()
	receiver.hops = func(core.RouteRequest) (core.Hop, error) {
		return core.Hop{Kind: core.HopOwner, Peer: core.Host{Host: "b", RelayAddress: strings.TrimPrefix(ownerRelay, "http://")}}, nil
	}
	_, url, _ := receiver.startKeyed(t, nil, receiver)
	got, err := call(t, "POST", url+"/private/1", "body", map[string]string{"Authorization": "Bearer k1", "Ebony-Tenant": "forged"})
	assert.NilError(t, err)
	assert.Equal(t, got.summary(), "200 1000 yes")
	received := <-up.received
	assert.Equal(t, received.Header.Get("Authorization"), "")
	assert.Equal(t, received.Header.Get("Ebony-Tenant"), "a")
	assert.Equal(t, received.Header.Get("Ebony-Home-Regions"), "")
	assert.Equal(t, owner.admitted[0].Priority, int64(2))
	assert.DeepEqual(t, owner.admitted[0].HomeRegions, []string{"r1"})
	assert.Equal(t, receiver.takes.Load()+receiver.checks.Load(), int64(2))
	assert.Equal(t, owner.takes.Load()+owner.checks.Load()+owner.awaits.Load(), int64(0))
}

// newCountingUpstream starts an upstream that answers one request per connection with text, and returns the number of requests that it
// has received in full.
func newCountingUpstream(t *testing.T, text string) (*scriptedUpstream, *atomic.Int64) {
	t.Helper()
	var received atomic.Int64
	return newScriptedUpstream(t, func(_ int64, c net.Conn) {
		if readRequest(c) == nil {
			received.Add(1)
			_, _ = io.WriteString(c, text)
		}
	}), &received
}

// TestCheckBeforeEachAttempt guards against a retry or a hedged request that is sent without a proof, and against a refused attempt that
// keeps its slot or its connection, or is reported as one that did not run although an earlier one may have.
func TestCheckBeforeEachAttempt(t *testing.T) {
	failed := "HTTP/1.1 500 Internal Server Error\r\nX-Id: 1\r\nX-Mark: m\r\nContent-Length: 4\r\n\r\noops"
	shed := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		first   string
		refused int64
		want    string
		ran     [2]int64
	}{
		"first attempt":             {dialectResponse("1", "ok"), 1, "503 3013 no", [2]int64{0, 0}},
		"retry after a failure":     {failed, 2, "500 1000 yes", [2]int64{1, 0}},
		"retry after a rejection":   {shed, 2, "503 4005 no", [2]int64{1, 0}},
		"no refusal, second target": {failed, 9, "200 1000 yes", [2]int64{1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first, firstRan := newCountingUpstream(t, c.first)
			second, secondRan := newCountingUpstream(t, dialectResponse("1", "second"))
			fx := newKeyedFixture(first.address, second.address)
			calls := int64(0)
			fx.check = func(int64) error {
				if calls++; calls >= c.refused {
					return unproven()
				}
				return nil
			}
			p, url, _ := fx.startKeyed(t, testDialect{}, fx)
			got, err := call(t, "POST", url+"/private/1", "body", map[string]string{"Authorization": "Bearer k1", "X-Id": "1"})
			assert.NilError(t, err)
			assert.Equal(t, got.summary(), c.want)
			assert.DeepEqual(t, [2]int64{firstRan.Load(), secondRan.Load()}, c.ran)
			if c.ran[0] == 0 {
				select {
				case outcome := <-fx.outcomes:
					assert.DeepEqual(t, outcome, core.Outcome{})
				default:
					t.Fatal("the slot was not released")
				}
				assert.Equal(t, len(p.pools.of(first.address, 4).idle), 1)
				assert.Assert(t, !p.pools.of(first.address, 4).idle[0].reused)
			}
		})
	}
}

// TestHedgeNeedsProof guards against a hedged request that is sent without a proof, and against the loss of the first attempt's response
// because of it.
func TestHedgeNeedsProof(t *testing.T) {
	first := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		time.Sleep(80 * time.Millisecond)
		_, _ = io.WriteString(c, dialectResponse("1", "first"))
	})
	second, secondRan := newCountingUpstream(t, dialectResponse("1", "second"))
	fx := newKeyedFixture(first.address, second.address)
	fx.policy.HedgeAfterMs = 10
	fx.set(1, true, core.CustomerSettings{KeyDigests: []string{core.DigestKey("k1").String()}, Name: "a"})
	fx.check = func(int64) error {
		if fx.checks.Load() > 1 {
			return unproven()
		}
		return nil
	}
	_, url, _ := fx.startKeyed(t, testDialect{}, fx)
	got, err := call(t, "POST", url+"/private/1", "body", map[string]string{"Authorization": "Bearer k1", "X-Id": "1"})
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "first")
	assert.Equal(t, fx.checks.Load(), int64(2))
	assert.Equal(t, secondRan.Load(), int64(0))
}

// TestKeyIsWithdrawnWhileRequestWaits guards against a request that runs although its key was withdrawn while it was placed, and against
// one that is refused because other settings came into force meanwhile.
func TestKeyIsWithdrawnWhileRequestWaits(t *testing.T) {
	other := core.CustomerSettings{KeyDigests: []string{core.DigestKey("k2").String()}, Name: "a"}
	same := core.CustomerSettings{KeyDigests: []string{core.DigestKey("k1").String()}, Name: "a"}
	cases := map[string]struct {
		later core.CustomerSettings
		want  string
		ran   int64
	}{
		"withdrawn": {other, "401 2008 no", 0},
		"kept":      {same, "200 1000 yes", 1},
	}
	for name, c := range cases {
		for _, stage := range []string{"await", "placement"} {
			t.Run(name+" during "+stage, func(t *testing.T) {
				up, ran := newCountingUpstream(t, dialectResponse("1", "ok"))
				fx := newKeyedFixture(up.address)
				change := func() { fx.set(2, true, c.later) }
				if stage == "await" {
					fx.await = func(revision int64) error {
						if revision == 1 {
							change()
							return unproven()
						}
						return nil
					}
				} else {
					fx.hops = func(core.RouteRequest) (core.Hop, error) {
						change()
						return core.Hop{Kind: core.HopLocal}, nil
					}
				}
				checked := int64(0)
				fx.check = func(revision int64) error {
					checked = revision
					return nil
				}
				_, url, _ := fx.startKeyed(t, testDialect{}, fx)
				got, err := call(t, "POST", url+"/private/1", "body", map[string]string{"Authorization": "Bearer k1", "X-Id": "1"})
				assert.NilError(t, err)
				assert.Equal(t, got.summary(), c.want)
				assert.Equal(t, ran.Load(), c.ran)
				assert.Equal(t, checked, 2*c.ran, "the proof must be of the settings that accept the key now")
			})
		}
	}
}
