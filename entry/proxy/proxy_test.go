package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestForward guards against a request or response that is altered in transit, through one and through two processes.
func TestForward(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		body, _ := io.ReadAll(in.Body)
		w.Header().Set("X-Seen", in.Method+" "+in.URL.RequestURI()+in.Header.Get("Ebony-Hops"))
		w.Header().Set("Trailer", "X-Sum")
		_, _ = w.Write(body)
		w.Header().Set("X-Sum", "7")
	}))
	defer up.Close()
	owner := newFixture(up.Listener.Addr().String())
	_, relay := owner.start(t, "a", nil)
	direct, _ := newFixture(up.Listener.Addr().String()).start(t, "a", nil)
	other := newFixture()
	other.hops = func(core.RouteRequest) (core.Hop, error) {
		return core.Hop{Kind: core.HopOwner, Peer: core.Host{Host: "a", RelayAddress: strings.TrimPrefix(relay, "http://")}}, nil
	}
	entry, _ := other.start(t, "b", nil)
	large := strings.Repeat("x", 300<<10)
	for name, test := range map[string]struct{ method, url, body string }{
		"get":           {"GET", direct + "/p%2Fq?x=1", ""},
		"post":          {"POST", direct + "/p%2Fq?x=1", "body"},
		"streamed":      {"POST", direct + "/p%2Fq?x=1", large},
		"relayed":       {"POST", entry + "/p%2Fq?x=1", "body"},
		"relay, stream": {"PUT", entry + "/p%2Fq?x=1", large},
		"head":          {"HEAD", entry + "/p%2Fq?x=1", ""},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := call(t, test.method, test.url, test.body, map[string]string{"Ebony-Hops": "9"})
			assert.NilError(t, err)
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.header.Get("X-Seen"), test.method+" /p%2Fq?x=1")
			assert.Equal(t, got.header.Get("Ebony-Code"), "1000")
			assert.Equal(t, got.header.Get("Ebony-Ran"), "yes")
			assert.Assert(t, got.header.Get("Ebony-Request-Id") != "")
			assert.Equal(t, got.body, test.body)
			if test.method != "HEAD" {
				assert.Equal(t, got.trailer.Get("X-Sum"), "7")
			}
		})
	}
}
