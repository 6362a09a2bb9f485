package stand

import (
	"net"
	"sync"
	"sync/atomic"
)

// conn is one accepted connection, which can be made silent.
type conn struct {
	net.Conn
	closed   chan struct{}
	closing  sync.Once
	onClose  func(*conn)
	silenced atomic.Bool
}

// Close implements net.Conn.Close.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(func() {
		close(c.closed)
		c.onClose(c)
	})
	return err
}

// Read implements net.Conn.Read; on a silent connection it does not return before Close.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.silenced.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.Write; on a silent connection it does not return before Close.
func (c *conn) Write(data []byte) (int, error) {
	if !c.silenced.Load() {
		return c.Conn.Write(data)
	}
	<-c.closed
	return 0, net.ErrClosed
}
