package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readRequest reads one request and its body from c.
func readRequest(c net.Conn) error {
	in, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, in.Body)
	return err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestKeptConnectionCloses guards against a request that runs twice because the transport resends it when a kept-alive
// connection closes. net/http's Transport does so even for a POST with an Idempotency-Key.
func TestKeptConnectionCloses(t *testing.T) {
	for name, test := range map[string]struct {
		method, ran string
		viaNetHTTP  bool
		status      int
		runs        int64
	}{
		"post":                    {method: "POST", ran: "unknown", status: 502, runs: 2},
		"get is retried by proxy": {method: "GET", ran: "yes", status: 200, runs: 3},
		"net/http retries post":   {method: "POST", viaNetHTTP: true, status: 200, runs: 3},
	} {
		t.Run(name, func(t *testing.T) {
			requests := make(chan int64, 10)
			up := newScriptedUpstream(t, func(n int64, c net.Conn) {
				for k := int64(1); readRequest(c) == nil; k++ {
					requests <- n
					if n == 1 && k == 2 {
						return
					}
					_, _ = io.WriteString(c, okResponse)
				}
			})
			url, _ := newFixture(up.address).start(t, "a", nil)
			if test.viaNetHTTP {
				url = "http://" + up.address
			}
			header := map[string]string{"Idempotency-Key": "k"}
			_, err := call(t, "GET", url, "", nil)
			assert.NilError(t, err)
			got, err := call(t, test.method, url, "body", header)
			assert.NilError(t, err)
			assert.Equal(t, got.status, test.status)
			assert.Equal(t, got.header.Get("Ebony-Ran"), test.ran)
			assert.Equal(t, int64(len(requests)), test.runs)
		})
	}
}

// TestTruncatedResponse guards against a truncated response that appears complete to the caller.
func TestTruncatedResponse(t *testing.T) {
	for name, text := range map[string]string{
		"content length": "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			up := newFixedUpstream(t, text)
			url, _ := newFixture(up.address).start(t, "a", nil)
			_, err := call(t, "GET", url, "", nil)
			assert.Assert(t, err != nil)
		})
	}
}

// TestRefusedConnection guards against a request that fails although another target is available.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = listener.Close()
	up := newFixedUpstream(t, okResponse)
	url, _ := newFixture(listener.Addr().String(), up.address).start(t, "a", nil)
	got, err := call(t, "POST", url, "body", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.status, 200)
	url, _ = newFixture(listener.Addr().String()).start(t, "a", nil)
	got, err = call(t, "POST", url, "body", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.header.Get("Ebony-Code"), "4001")
	assert.Equal(t, got.header.Get("Ebony-Ran"), "no")
}

// TestHungUpstream guards against a request that continues past its deadline and against a POST that is sent twice.
func TestHungUpstream(t *testing.T) {
	for name, test := range map[string]struct {
		method, ran string
		status      int
		requests    int64
	}{
		"post": {"POST", "unknown", 504, 1},
		"get":  {"GET", "yes", 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			hung := newScriptedUpstream(t, func(_ int64, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
			up := newFixedUpstream(t, okResponse)
			url, _ := newFixture(hung.address, up.address).start(t, "a", nil)
			start := time.Now()
			got, err := call(t, test.method, url, "body", map[string]string{"Ebony-Deadline-Ms": "400"})
			assert.NilError(t, err)
			assert.Equal(t, got.status, test.status)
			assert.Equal(t, got.header.Get("Ebony-Ran"), test.ran)
			assert.Equal(t, hung.requests.Load()+up.requests.Load(), test.requests)
			assert.Assert(t, time.Since(start) < time.Second)
		})
	}
}
