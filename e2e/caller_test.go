package e2e_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

// Guards against counting a keyed request as refused although a host has received it. If a kept-alive connection closes
// without a response, net/http retries the request on a new connection, which may be refused.
func TestCallerDetectsLostResponse(t *testing.T) {
	l, err := net.Listen("tcp", fleet.NewLoopbackIP()+":0")
	assert.NilError(t, err)
	tokens := make(chan string, 2)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, response := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""} {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			tokens <- request.Header.Get("X-Token")
			if response == "" {
				_ = l.Close()
			}
			_, _ = io.WriteString(conn, response)
		}
	}()
	c := newCaller("booking")
	assert.NilError(t, c.send(l.Addr().String(), "first").err)
	lost := c.send(l.Addr().String(), "second")
	assert.Equal(t, <-tokens+" "+<-tokens, "first second")
	assert.Assert(t, errors.Is(lost.err, syscall.ECONNREFUSED), "%v", lost.err)
	assert.Assert(t, result{earlier: []response{lost}}.lostResponse(), "a request that was sent is counted as refused")
	refused := c.send(l.Addr().String(), "third")
	assert.Assert(t, errors.Is(refused.err, syscall.ECONNREFUSED), "%v", refused.err)
	assert.Assert(t, !result{earlier: []response{refused}}.lostResponse(),
		"a request that was not sent is counted as having lost its response")
}
