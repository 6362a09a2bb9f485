package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallerErrors guards against a malformed request that reaches an upstream.
func TestCallerErrors(t *testing.T) {
	up := newScriptedUpstream(t, func(int64, net.Conn) {})
	fx := newFixture(up.address)
	fx.policy.RequestBodyBytes = 100
	url, relay := fx.start(t, "a", newFakeDeduper())
	for name, test := range map[string]struct {
		body, header, url, value, want string
	}{
		"unknown service":      {url: url, header: "Ebony-Service", value: "none", want: "404 2001 no"},
		"deadline not number":  {url: url, header: "Ebony-Deadline-Ms", value: "1s", want: "400 2004 no"},
		"deadline zero":        {url: url, header: "Ebony-Deadline-Ms", value: "0", want: "400 2004 no"},
		"unknown class":        {url: url, header: "Ebony-Class", value: "urgent", want: "400 2002 no"},
		"long tenant":          {url: url, header: "Ebony-Tenant", value: strings.Repeat("t", 65), want: "400 2002 no"},
		"long key":             {url: url, header: "Idempotency-Key", value: strings.Repeat("k", 257), want: "400 5007 no"},
		"oversized body":       {url: url, body: strings.Repeat("b", 101), want: "413 2003 no"},
		"relay without header": {url: relay, want: "400 2002 no"},
	} {
		t.Run(name, func(t *testing.T) {
			header := map[string]string{}
			if test.header != "" {
				header[test.header] = test.value
			}
			got, err := call(t, "POST", test.url, test.body, header)
			assert.NilError(t, err)
			assert.Equal(t, got.summary(), test.want)
			assert.Equal(t, up.requests.Load(), int64(0))
		})
	}
}

// TestLeaseExpired guards against bytes that are written to a target after the lease has expired.
func TestLeaseExpired(t *testing.T) {
	bytesSeen := make(chan int64, 10)
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		n, _ := io.Copy(io.Discard, c)
		bytesSeen <- n
	})
	fx := newFixture(up.address)
	fx.lease = 0
	url, _ := fx.start(t, "a", nil)
	got, err := call(t, "POST", url, "body", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.summary(), "503 3004 no")
	assert.Equal(t, <-bytesSeen, int64(0))
}

// TestCallerCancels guards against upstream work that continues after its caller has disconnected.
func TestCallerCancels(t *testing.T) {
	for name, body := range map[string]string{"buffered body": "body", "streamed body": strings.Repeat("b", 100<<10)} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
				_ = readRequest(c)
				close(started)
				_, _ = io.Copy(io.Discard, c)
				close(ended)
			})
			fx := newFixture(up.address)
			fx.policy.DeadlineMs = 60000
			url, _ := fx.start(t, "a", nil)
			cancelCall(t, url, body, "", started)
			<-ended
			assert.Equal(t, (<-fx.outcomes).Failed, false)
		})
	}
}

// TestUploadEndsEarly guards against a handler that hangs, or a target that is counted as failed, when an upload stays
// incomplete.
func TestUploadEndsEarly(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: board.test\r\nContent-Length: 1000000\r\n\r\n"
	const chunkedHead = "POST / HTTP/1.1\r\nHost: board.test\r\nTransfer-Encoding: chunked\r\n\r\n"
	early := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 413 x\r\nContent-Length: 10000\r\nConnection: close\r\n\r\n"+strings.Repeat("n", 10000))
		_, _ = io.Copy(io.Discard, c)
	})
	waiting := newScriptedUpstream(t, func(_ int64, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	for name, test := range map[string]struct {
		address, status string
		chunked, closes bool
	}{
		"upstream responds early": {address: early.address, status: "413 Request Entity Too Large"},
		"malformed chunk":         {address: waiting.address, chunked: true, status: "400 Bad Request"},
		"caller disconnects":      {address: waiting.address, closes: true},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(test.address)
			fx.policy.DeadlineMs = 30000
			url, _ := fx.start(t, "a", nil)
			c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
			text := head + strings.Repeat("b", 100<<10)
			if test.chunked {
				text = chunkedHead + "19000\r\n" + strings.Repeat("b", 100<<10) + "\r\nnot a chunk size\r\n"
			}
			_, err = io.WriteString(c, text)
			assert.NilError(t, err)
			if test.closes {
				assert.NilError(t, c.Close())
			} else {
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				assert.NilError(t, err)
				assert.Equal(t, response.Status, test.status)
				// The rest of the body may still arrive, so the connection cannot carry another request.
				assert.Assert(t, response.Close)
				assert.NilError(t, response.Body.Close())
			}
			select {
			case outcome := <-fx.outcomes:
				assert.Equal(t, outcome.Failed, false)
			case <-time.After(3 * time.Second):
				t.Fatal("the slot was not released")
			}
		})
	}
}

// TestOversizedStream guards against a chunked body that exceeds the size limit because it announces no length.
func TestOversizedStream(t *testing.T) {
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	fx := newFixture(up.address)
	fx.policy.RequestBodyBytes = 100 << 10
	url, _ := fx.start(t, "a", nil)
	body := io.MultiReader(strings.NewReader(strings.Repeat("b", 101<<10)))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	assert.NilError(t, err)
	request.Header.Set("Ebony-Service", "board")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	got := callerResponse{header: response.Header, status: response.StatusCode}
	assert.Equal(t, got.summary(), "413 2003 unknown")
	assert.Equal(t, (<-fx.outcomes).Failed, false)
}

// TestProtocol guards against headers and informational responses that are lost or wrongly passed on.
func TestProtocol(t *testing.T) {
	received := make(chan http.Header, 1)
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		in, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, in.Body)
		received <- in.Header
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+
			"HTTP/1.1 204 x\r\nConnection: X-Private\r\nX-Private: 1\r\nX-Public: 1\r\nEbony-Ran: no\r\n\r\n")
	})
	url, _ := newFixture(up.address).start(t, "a", nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: Board.test:80\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"+
		"Connection: X-Mine\r\nX-Mine: 1\r\nTe: trailers\r\nUpgrade: x\r\nEbony-Tried: a\r\nEbony-To-Region: r9\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(c)
	var got []string
	for range 3 {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		got = append(got, response.Status+" "+response.Header.Get("Link")+response.Header.Get("X-Private")+
			response.Header.Get("X-Public")+response.Header.Get("Ebony-Ran"))
		if len(got) == 1 {
			_, err = io.WriteString(c, "ok")
			assert.NilError(t, err)
		}
	}
	assert.DeepEqual(t, got, []string{"100 Continue ", "103 Early Hints a", "204 No Content 1yes"})
	header := <-received
	for _, name := range []string{"Expect", "X-Mine", "Te", "Upgrade", "Connection", "Ebony-Tried", "Ebony-To-Region", "User-Agent"} {
		assert.Equal(t, header.Get(name), "", name)
	}
	assert.Equal(t, header.Get("Ebony-Service"), "board")
}
