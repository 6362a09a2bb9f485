package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// idPlaceholder stands for the ID of the request in a response of newRepeatingUpstream.
const idPlaceholder = "{id}"

// newRepeatingUpstream starts an upstream that answers the first request of each connection with own and the others with later.
func newRepeatingUpstream(t *testing.T, own, later string) *scriptedUpstream {
	t.Helper()
	return newScriptedUpstream(t, func(_ int64, c net.Conn) {
		reader := bufio.NewReader(c)
		for response := own; ; response = later {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			id := request.Header.Get(core.HeaderRequestID)
			if id == "" {
				id = request.Header.Get("X-Id")
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(response, idPlaceholder, id))
		}
	})
}

// startOwnerPath serves a proxy whose requests take the given path to its upstreams, and returns its URL.
func startOwnerPath(t *testing.T, path string, upstreams ...string) string {
	t.Helper()
	fx := newFixture(upstreams...)
	config := Config{
		Admitter: fx, Budget: fx.timer, Log: zap.NewNop(), PrefetchBytes: 1 << 10, Router: fx, Settings: routedFixture{fx, false}, Shifter: fx,
		Self: core.Host{Host: "a", Region: "r1", Zone: "z1"}, Timer: fx.timer,
	}
	switch path {
	case "dialect":
		config.Dialect = testDialect{}
	case pathPeer:
		fx.hops = peerRouter(core.HopOwner, upstreams...)
	}
	p := New(config)
	server := httptest.NewServer(p.CallerHandler())
	t.Cleanup(func() {
		server.Close()
		assert.NilError(t, p.Close())
		fx.awaitReleases(t)
	})
	return server.URL
}

// TestResponsesOfEarlierRequests guards against a response to an earlier request, written once more on a kept connection, that is taken for
// the response to the next one: a request that runs would be reported as not run, or run at a second upstream as well.
func TestResponsesOfEarlierRequests(t *testing.T) {
	const (
		ids  = "X-Id: " + idPlaceholder + "\r\nEbony-Request-Id: " + idPlaceholder + "\r\n"
		own  = "HTTP/1.1 200 OK\r\n" + ids + "X-Mark: m\r\nEbony-Code: 1000\r\nEbony-Ran: yes\r\nContent-Length: 2\r\n\r\nok"
		rest = " x\r\nX-Not-Run: 1\r\nEbony-Code: 3002\r\nEbony-Ran: no\r\nContent-Length: 0\r\n"
	)
	const broken, served = "502 4003 unknown", "200 1000 yes"
	all, dialect := []string{"dialect", pathTarget, pathPeer}, []string{"dialect"}
	cases := map[string]struct {
		late string
		// want is the result if the response of the request follows the late one.
		want string
		// second is the number of requests that the second upstream gets.
		second int64
		paths  []string
	}{
		"503 without an ID":      {"HTTP/1.1 503" + rest + "\r\n", broken, 0, all},
		"429 without an ID":      {"HTTP/1.1 429" + rest + "\r\n", broken, 0, all},
		"503 with an empty ID":   {"HTTP/1.1 503" + rest + "X-Id: \r\nEbony-Request-Id:\r\n\r\n", broken, 0, all},
		"421 without an ID":      {"HTTP/1.1 421" + rest + "\r\n", broken, 0, dialect},
		"400 without an ID":      {"HTTP/1.1 400" + rest + "\r\n", broken, 0, dialect},
		"500 without an ID":      {"HTTP/1.1 500 x\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nno", broken, 0, dialect},
		"503 with an earlier ID": {"HTTP/1.1 503" + rest + "X-Id: 0\r\nEbony-Request-Id: 0\r\n\r\n", served, 0, all},
		"200 with an earlier ID": {dialectResponse("0", "no"), served, 0, dialect},
		"503 two times": {
			strings.Repeat("HTTP/1.1 503"+rest+"X-Id: 0\r\nEbony-Request-Id: 0\r\n\r\n", 2), served, 0, all,
		},
		"503 with its own ID": {"HTTP/1.1 503" + rest + ids + "\r\n", served, 1, all},
		"none":                {"", served, 0, all},
	}
	for name, c := range cases {
		for _, path := range c.paths {
			t.Run(path+", "+name, func(t *testing.T) {
				t.Parallel()
				first, second := newRepeatingUpstream(t, own, c.late+own), newRepeatingUpstream(t, own, own)
				url := startOwnerPath(t, path, first.address, second.address)
				for id, want := range []string{served, c.want} {
					got, err := call(t, http.MethodPost, url+"/board/1", "body", map[string]string{"X-Id": string(rune('1' + id))})
					assert.NilError(t, err)
					assert.Equal(t, got.summary(), want)
					time.Sleep(10 * time.Millisecond)
				}
				assert.Equal(t, second.requests.Load(), c.second)
				assert.Equal(t, first.requests.Load(), int64(1), "the connection was not kept")
			})
		}
	}
}

// TestRequestsWithoutIDGetNewConnections guards against a late response on a kept connection that is taken for the response to a request
// without an ID.
func TestRequestsWithoutIDGetNewConnections(t *testing.T) {
	refusal := "HTTP/1.1 400 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	up := newRepeatingUpstream(t, dialectResponse(idPlaceholder, "ok"), refusal+refusal)
	url := startOwnerPath(t, "dialect", up.address)
	for n, id := range []string{"1", ""} {
		_, err := call(t, http.MethodPost, url+"/board/1", "body", map[string]string{"X-Id": id})
		assert.NilError(t, err)
		assert.Equal(t, up.requests.Load(), int64(n+1))
		time.Sleep(10 * time.Millisecond)
	}
}
