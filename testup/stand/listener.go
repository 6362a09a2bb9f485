package stand

import (
	"net"
	"time"
)

// listener accepts the connections of a target and registers them with it.
type listener struct {
	net.Listener
	target *Target
}

// Accept implements net.Listener.Accept; it delays each connection by Config.AcceptTime.
func (l *listener) Accept() (net.Conn, error) {
	tcpConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.target.config.AcceptTime > 0 {
		time.Sleep(l.target.config.AcceptTime)
	}
	c := &conn{Conn: tcpConn, closed: make(chan struct{}), onClose: l.target.removeConn}
	l.target.addConn(c)
	return c, nil
}
