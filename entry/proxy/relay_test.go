package proxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// peerRouter routes to the first peer that was not tried yet.
func peerRouter(kind core.HopKind, addresses ...string) func(core.RouteRequest) (core.Hop, error) {
	return func(request core.RouteRequest) (core.Hop, error) {
		for _, address := range addresses {
			if !slices.Contains(request.TriedHosts, address) {
				return core.Hop{Kind: kind, Peer: core.Host{Host: address, RelayAddress: address}, Region: "r2"}, nil
			}
		}
		return core.Hop{}, &core.RejectedError{Code: codes.NoPermittedTarget, Text: "none left"}
	}
}

// peerResponse returns the response of a peer.
func peerResponse(status, code, ran string) string {
	return "HTTP/1.1 " + status + " x\r\nEbony-Code: " + code + "\r\nEbony-Ran: " + ran + "\r\nContent-Length: 2\r\n\r\nok"
}

// TestRelayFailures guards against a retry without proof that the request was not run, against giving up while another
// host is available, and against reporting a request as not run when it may have been.
func TestRelayFailures(t *testing.T) {
	ok := peerResponse("200", "1000", "yes")
	for name, test := range map[string]struct {
		first, method, want, second string
	}{
		"rejected post is retried":      {peerResponse("503", "3002", "no"), "POST", "200 1000 yes", ok},
		"unknown post is not retried":   {peerResponse("504", "4002", "unknown"), "POST", "504 4002 unknown", ok},
		"unknown get is retried":        {peerResponse("504", "4002", "unknown"), "GET", "200 1000 yes", ok},
		"caller's error is not retried": {peerResponse("413", "2003", "no"), "POST", "413 2003 no", ok},
		"broken post is not retried":    {"", "POST", "502 4003 unknown", ok},
		"broken get is retried":         {"", "GET", "200 1000 yes", ok},
		"unknown result is kept":        {"", "GET", "503 3002 unknown", peerResponse("503", "3002", "no")},
		"hung get is retried":           {"hang", "GET", "200 1000 yes", ok},
		"hung post is not retried":      {"hang", "POST", "504 4002 unknown", ok},
		"post without Ebony headers":    {okResponse, "POST", "502 4003 unknown", ok},
	} {
		t.Run(name, func(t *testing.T) {
			upstream := func(text string) *scriptedUpstream {
				return newScriptedUpstream(t, func(_ int64, c net.Conn) {
					_ = readRequest(c)
					if text == "hang" {
						_, _ = io.Copy(io.Discard, c)
					}
					_, _ = io.WriteString(c, text)
				})
			}
			fx := newFixture()
			fx.hops = peerRouter(core.HopOwner, upstream(test.first).address, upstream(test.second).address)
			url, _ := fx.start(t, "a", nil)
			got, err := call(t, test.method, url, "body", nil)
			assert.NilError(t, err)
			assert.Equal(t, got.summary(), test.want)
		})
	}
}

// TestGateway guards against a shift that bypasses its cap and against endless relaying.
func TestGateway(t *testing.T) {
	up := newKeptUpstream(t, okResponse)
	owner := newFixture(up.address)
	_, ownerRelay := owner.start(t, "a", nil)
	gateway := newFixture()
	gateway.hops = peerRouter(core.HopOwner, strings.TrimPrefix(ownerRelay, "http://"))
	_, gatewayRelay := gateway.start(t, "g", nil)
	entry := newFixture()
	entry.hops = peerRouter(core.HopGateway, strings.TrimPrefix(gatewayRelay, "http://"))
	url, _ := entry.start(t, "e", nil)
	got, err := call(t, "POST", url, "body", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.summary(), "200 1000 yes")
	assert.Equal(t, gateway.shifts.Load(), int64(1))
	// The entry process may be the gateway of the shift itself.
	self := newFixture()
	self.hops = func(request core.RouteRequest) (core.Hop, error) {
		if request.ToRegion == "" {
			return core.Hop{Kind: core.HopGateway, Peer: core.Host{Host: "s"}, Region: "r2"}, nil
		}
		return peerRouter(core.HopOwner, strings.TrimPrefix(ownerRelay, "http://"))(request)
	}
	url, _ = self.start(t, "s", nil)
	got, err = call(t, "POST", url, "body", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.summary(), "200 1000 yes")
	assert.Equal(t, self.shifts.Load(), int64(1))
	loop := newFixture()
	_, loopRelay := loop.start(t, "l", nil)
	loop.hops = func(core.RouteRequest) (core.Hop, error) {
		return core.Hop{Kind: core.HopOwner, Peer: core.Host{Host: "l", RelayAddress: strings.TrimPrefix(loopRelay, "http://")}}, nil
	}
	header := map[string]string{"Ebony-Hops": "1", "Ebony-Request-Id": "i", "Ebony-From-Region": "r1"}
	got, err = call(t, "POST", loopRelay, "body", header)
	assert.NilError(t, err)
	assert.Equal(t, got.summary(), "503 2005 no")
}

// TestShiftIsAdmittedLast guards against counting requests against the cap before they wait for bandwidth, after which
// more than the cap would leave together, and against a gateway that sends after its lease has expired.
func TestShiftIsAdmittedLast(t *testing.T) {
	tests := map[string]struct {
		lease time.Duration
		want  string
	}{
		"valid lease":   {time.Minute, "200 1000 yes"},
		"expired lease": {0, "503 3004 no"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, owner := newFixture(newFixedUpstream(t, okResponse).address).start(t, "a", nil)
			fx := newFixture()
			fx.lease = test.lease
			fx.paced = func(admitted int64) { assert.Check(t, admitted == 0, "admitted before the wait for bandwidth") }
			fx.hops = func(request core.RouteRequest) (core.Hop, error) {
				if request.ToRegion == "" && len(request.TriedHosts) == 0 {
					return core.Hop{Kind: core.HopGateway, Peer: core.Host{Host: "g"}, Region: "r2"}, nil
				}
				return peerRouter(core.HopOwner, strings.TrimPrefix(owner, "http://"))(request)
			}
			url, _ := fx.start(t, "g", nil)
			got, err := call(t, "POST", url, "body", nil)
			assert.NilError(t, err)
			assert.Equal(t, got.summary(), test.want)
		})
	}
}

// TestDrain guards against kept-alive connections that are still in use when a shutdown closes them.
func TestDrain(t *testing.T) {
	p := New(Config{Router: newFixture(), Settings: newFixture(), Timer: newFixture().timer})
	defer func() { assert.NilError(t, p.Close()) }()
	p.Drain()
	recorder := httptest.NewRecorder()
	p.CallerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Equal(t, recorder.Header().Get("Connection"), "close")
}

// TestKeptConnectionIsReused guards against opening a new connection for each request once the first request's deadline
// has passed.
func TestKeptConnectionIsReused(t *testing.T) {
	up := newKeptUpstream(t, okResponse)
	fx := newFixture(up.address)
	fx.policy.DeadlineMs = 100
	url, _ := fx.start(t, "a", nil)
	for range 3 {
		got, err := call(t, "GET", url, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.summary(), "200 1000 yes")
		time.Sleep(150 * time.Millisecond)
	}
	assert.Equal(t, up.requests.Load(), int64(1))
}

// TestUnresponsiveConnections guards against sending a request on a connection that was open when another connection to the
// same address turned out to be unresponsive.
func TestUnresponsiveConnections(t *testing.T) {
	warm := make(chan struct{})
	up := newScriptedUpstream(t, func(n int64, c net.Conn) {
		_ = readRequest(c)
		if n <= 2 {
			if n == 2 {
				close(warm)
			}
			<-warm
		}
		_, _ = io.WriteString(c, okResponse)
		for n > 2 && readRequest(c) == nil {
			_, _ = io.WriteString(c, okResponse)
		}
		_, _ = io.Copy(io.Discard, c)
	})
	url, _ := newFixture(up.address).start(t, "a", nil)
	done := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := call(t, "GET", url, "", nil)
			done <- err
		}()
	}
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
	got, err := call(t, "GET", url, "", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.header.Get("Ebony-Code"), "4002")
	got, err = call(t, "POST", url, "body", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.summary(), "200 1000 yes")
	assert.Equal(t, up.requests.Load(), int64(3))
}
