package memory

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection that is charged to a budget until it is closed.
type Conn struct {
	net.Conn
	accepted time.Time
	account  *Account
	closing  sync.Once
	listener *Listener
	// evict, if set, closes the connection in favour of another one.
	evict atomic.Pointer[func()]
	// inBody means that the process waits for the body of a request.
	inBody atomic.Bool
	// leaving means that the connection was told to give way to another one. It is used with the mutex of the listener.
	leaving bool
	// reading and writing measure how long the client has made the process wait within a request.
	reading, writing stall
	// served means that a request was served.
	served  atomic.Bool
	serving atomic.Bool
	// since is the time in Unix nanoseconds at which the connection was accepted or has served its last request.
	since atomic.Int64
}

func newConn(raw net.Conn, l *Listener, now time.Time) *Conn {
	c := &Conn{Conn: raw, accepted: now, account: NewAccount(l.Budget), listener: l}
	c.since.Store(now.UnixNano())
	return c
}

// BeginBody states that the process needs a request body from the client.
func (c *Conn) BeginBody() {
	c.reading.reset()
	c.inBody.Store(true)
}

// BeginServing states that a complete request head has arrived, so that the connection gives way to others only while the client makes
// the process wait.
func (c *Conn) BeginServing() {
	c.serving.Store(true)
}

// Budget returns the budget of the connection, or nil.
func (c *Conn) Budget() *Budget { return c.listener.Budget }

// Close implements net.Conn. Calls after the first one do not change the accounts.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.listener.remove(c)
		c.account.Close()
	})
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, if it can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// EndBody states that the process needs no more of a request body.
func (c *Conn) EndBody() {
	c.inBody.Store(false)
}

// EndServing states that no request is being served.
func (c *Conn) EndServing() {
	c.since.Store(time.Now().UnixNano())
	c.served.Store(true)
	c.serving.Store(false)
}

// HeaderLines returns the largest number of lines of a request head.
func (c *Conn) HeaderLines() int64 { return c.listener.HeaderLines }

// OnEvict sets the function that closes the connection in favour of another one. Without it, the connection is just closed.
func (c *Conn) OnEvict(evict func()) {
	c.evict.Store(&evict)
}

// Read implements io.Reader.
func (c *Conn) Read(data []byte) (int, error) {
	if !c.inBody.Load() {
		return c.Conn.Read(data)
	}
	c.reading.begin(time.Now())
	n, err := c.Conn.Read(data)
	c.reading.end(time.Now(), n)
	return n, err
}

// SetLinger sets for how many seconds Close keeps unsent data, if the connection can; 0 makes it a reset, and -1 is the default.
func (c *Conn) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// Stalled reports whether the client makes the process wait within a request, for so long that the connection may give way to another one.
func (c *Conn) Stalled() bool {
	return c.stalled(time.Now()) >= evictStalledAfter
}

// Write implements io.Writer.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.begin(time.Now())
	n, err := c.Conn.Write(data)
	c.writing.end(time.Now(), n)
	return n, err
}

// giveWay closes the connection in favour of another one.
func (c *Conn) giveWay() {
	if evict := c.evict.Load(); evict != nil {
		(*evict)()
		return
	}
	_ = c.Close()
}

// quiet returns the time for which the connection has not served a request, or 0 if it is serving one.
func (c *Conn) quiet(now time.Time) time.Duration {
	if c.serving.Load() {
		return 0
	}
	return now.Sub(time.Unix(0, c.since.Load()))
}

// stalled returns the time for which the client has made the process wait for a body, or for room for a response.
func (c *Conn) stalled(now time.Time) time.Duration {
	// A request whose response is being written to its end does not count as served any more.
	if !c.serving.Load() && !c.writing.inProgress() {
		return 0
	}
	waited := c.writing.waited(now)
	if c.inBody.Load() {
		waited = max(waited, c.reading.waited(now))
	}
	return waited
}
