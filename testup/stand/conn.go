package stand

import (
	"net"
	"sync"
	"sync/atomic"
)

// conn is one accepted connection, which can be made unresponsive.
type conn struct {
	net.Conn
	closed       chan struct{}
	closeOnce    sync.Once
	onClose      func(*conn)
	unresponsive atomic.Bool
}

// Close implements net.Conn.Close.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		close(c.closed)
		c.onClose(c)
	})
	return err
}

// Read implements net.Conn.Read; on an unresponsive connection it blocks until Close.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.unresponsive.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.Write; on an unresponsive connection it blocks until Close.
func (c *conn) Write(data []byte) (int, error) {
	if !c.unresponsive.Load() {
		return c.Conn.Write(data)
	}
	<-c.closed
	return 0, net.ErrClosed
}
