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

// Guards against a keyed request that counts as refused although a host got it: net/http repeats it on a new connection
// when a kept one closes without an answer, and that connection may be refused.
func TestCallerNotesLostAnswer(t *testing.T) {
	l, err := net.Listen("tcp", fleet.OwnIP()+":0")
	assert.NilError(t, err)
	got := make(chan string, 2)
	go func() {
		s, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = s.Close() }()
		reader := bufio.NewReader(s)
		for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""} {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			got <- request.Header.Get("X-Token")
			if answer == "" {
				_ = l.Close()
			}
			_, _ = io.WriteString(s, answer)
		}
	}()
	c := newCaller("booking")
	assert.NilError(t, c.send(l.Addr().String(), "first").err)
	lost := c.send(l.Addr().String(), "second")
	assert.Equal(t, <-got+" "+<-got, "first second")
	assert.Assert(t, errors.Is(lost.err, syscall.ECONNREFUSED), "%v", lost.err)
	assert.Assert(t, result{earlier: []answer{lost}}.unanswered(), "a request that was sent counts as refused")
	refused := c.send(l.Addr().String(), "third")
	assert.Assert(t, errors.Is(refused.err, syscall.ECONNREFUSED), "%v", refused.err)
	assert.Assert(t, !result{earlier: []answer{refused}}.unanswered(), "a request that was not sent counts as unanswered")
}
