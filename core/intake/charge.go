package intake

import (
	"bufio"
	"net"
	"net/http"

	"ebonyrouter.dev/core/heads"
	"ebonyrouter.dev/core/memory"
)

// retryAfterSeconds is the Retry-After of a request that is refused for lack of memory.
const retryAfterSeconds = "1"

// charge counts the memory that the requests of a connection need, in the budget of its listener. Without a budget it counts nothing.
type charge struct {
	account *memory.Account
	// guarded is the socket if its listener bounds the memory of connections, or nil.
	guarded *memory.Conn
	head    memory.Head
	// watch is the method value head.Watch, which would be an allocation for each request.
	watch func(data []byte) error
}

// init prepares the count. evict closes the connection in favour of another one.
func (c *charge) init(socket net.Conn, evict func()) {
	c.account = memory.NewAccount(nil)
	if guarded, ok := socket.(*memory.Conn); ok {
		c.guarded, c.account = guarded, memory.NewAccount(guarded.Budget())
		c.head.MaxLines = guarded.HeaderLines()
		guarded.OnEvict(evict)
	}
	c.head.Budget = c.account
	c.watch = c.head.Watch
}

// beginHead charges the part of a request head that has been read already, and what is read of it until the end of the head. The error
// is memory.ErrExhausted or memory.ErrTooManyLines.
func (c *charge) beginHead(reader *bufio.Reader, head *heads.Reader) error {
	if c.guarded == nil {
		return nil
	}
	c.head.Begin()
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return err
	}
	head.Watch(c.watch)
	return c.watch(buffered)
}

// takeHead returns what the last head is charged, which is the caller's to release.
func (c *charge) takeHead() int64 {
	reserved := c.head.Reserved()
	c.head.Begin()
	return reserved
}

func (c *charge) release(bytes int64) {
	if bytes > 0 {
		c.account.Release(bytes)
	}
}

// beginServing records that another request is in flight, besides pending ones, and returns what its head is charged.
func (c *charge) beginServing(pending int) int64 {
	if c.guarded != nil && pending == 0 {
		c.guarded.BeginServing()
	}
	return c.takeHead()
}

// endServing records that one of the pending requests is not in flight any more.
func (c *charge) endServing(pending int) {
	if c.guarded != nil && pending == 1 {
		c.guarded.EndServing()
	}
}

// chargeBody charges the body of a request that is kept in memory. If the budget does not permit it, it refuses the request and returns
// false.
func (c *conn) chargeBody(e *exchange) bool {
	size := e.request.ContentLength
	if e.request.Body == nil || e.request.Body == http.NoBody || size == 0 {
		return true
	}
	if limit := c.server.MaxBufferedBodyBytes; size < 0 || size > limit {
		size = limit
	}
	return e.charge(size) || e.refuseExhausted()
}

// chargeTrailer charges the trailer of a body that was read to its end, and reports whether the budget permits it.
func (e *exchange) chargeTrailer() bool {
	size := memory.TrailerBytes(e.request.Trailer)
	return size == 0 || e.charge(size)
}

// charge charges bytes to the connection until the end of the request, and reports whether the budget permits them.
func (e *exchange) charge(size int64) bool {
	if !e.conn.charged.account.Reserve(size) {
		return false
	}
	e.chargedBytes.Add(size)
	return true
}

// release releases what the request is charged.
func (e *exchange) release() {
	e.conn.charged.release(e.chargedBytes.Load())
}

// refuseExhausted refuses a request for lack of memory. It returns false, because no request can be read after it.
func (e *exchange) refuseExhausted() bool {
	e.refuse(http.StatusServiceUnavailable, memory.ErrExhausted)
	e.release()
	return false
}

// refuse sends an error response and closes the connection, because no request can be read after the one that is refused.
func (e *exchange) refuse(status int, cause error) {
	e.header.Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		e.header.Set("Retry-After", retryAfterSeconds)
	}
	http.Error(e, cause.Error(), status)
	e.finish()
}

// beginBody records that the process waits for a request body.
func (c *charge) beginBody() {
	if c.guarded != nil {
		c.guarded.BeginBody()
	}
}

// endBody records that the process has read a request body or needs no more of it.
func (c *charge) endBody() {
	if c.guarded != nil {
		c.guarded.EndBody()
	}
}

// stalled reports whether the client makes the process wait within a request.
func (c *charge) stalled() bool {
	return c.guarded != nil && c.guarded.Stalled()
}

// evict closes the connection in favour of another one. A request of which a part has been read is not run.
func (c *conn) evict() {
	if c.charged.stalled() {
		c.abort("the caller neither sends nor reads, and others wait for its connection", nil)
		return
	}
	c.mutex.Lock()
	partial := c.readingRequest && c.pendingResponses == 0
	c.ended = c.ended || partial
	c.mutex.Unlock()
	if partial {
		_ = c.socket.Close()
		return
	}
	c.closeAfterResponses()
}
