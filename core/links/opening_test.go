package links_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/links"
)

// Guards against clients that are no hosts and occupy all links of a process: those without a hello take at most half of the connections,
// and each is closed after 2 s even if bytes arrive one at a time.
func TestSilentClientsLeaveRoom(t *testing.T) {
	a, b := newManager(t, systemTimer(t), links.WithMaxConns(4)), newManager(t, systemTimer(t))
	var slow []net.Conn
	for range 6 {
		c, err := net.Dial("tcp", a.Address())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		slow = append(slow, c)
	}
	closed := make(chan struct{}, len(slow))
	for _, c := range slow {
		go func() {
			for {
				if _, err := io.WriteString(c, "\x00"); err != nil {
					closed <- struct{}{}
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	for range slow {
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatal("a connection without a hello stays open")
		}
	}
	b.Connect(a.Address())
	waitAlive(t, b, a.Address())
}
