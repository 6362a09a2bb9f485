package stand

import (
	"net"
	"time"
)

// listener counts the connections of a target.
type listener struct {
	net.Listener
	target *Target
}

// Accept implements net.Listener.Accept.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.target.config.AcceptTime > 0 {
		time.Sleep(l.target.config.AcceptTime)
	}
	c := &conn{Conn: raw, closed: make(chan struct{}), onClose: l.target.forget}
	l.target.remember(c)
	return c, nil
}
