package intake

import (
	"net"

	"ebonyrouter.dev/entry/memory"
)

// retryAfterSeconds is the Retry-After of a request that is refused for lack of memory. Heads are read for 5 s at most.
const retryAfterSeconds = "1"

// watchMemory charges the requests of the connection to the budget of its listener, if that has one.
func (c *conn) watchMemory(socket net.Conn) {
	c.account = memory.NewAccount(nil)
	guarded, ok := socket.(*memory.Conn)
	if ok {
		c.guarded, c.account = guarded, memory.NewAccount(guarded.Budget())
		c.headMemory.MaxLines = guarded.HeaderLines()
		guarded.OnEvict(c.evict)
	}
	c.headMemory.Budget = c.account
	// The function is created once, because each method value is an allocation.
	c.watchHead = c.headMemory.Watch
}

// beginHead charges the part of a request head that has been read already, and what is read of it until the end of the head.
func (c *conn) beginHead() error {
	if c.guarded == nil {
		return nil
	}
	c.headMemory.Begin()
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.head.Watch(c.watchHead)
	return c.watchHead(buffered)
}

// takeHead returns what the last head is charged, which is the caller's to release.
func (c *conn) takeHead() int64 {
	reserved := c.headMemory.Reserved()
	c.headMemory.Begin()
	return reserved
}

// beginServing and endServing record whether requests are in flight; the caller holds the mutex.
func (c *conn) beginServing() {
	if c.guarded != nil && c.pendingResponses == 1 {
		c.guarded.BeginServing()
	}
}

func (c *conn) endServing() {
	if c.guarded != nil && c.pendingResponses == 0 {
		c.guarded.EndServing()
	}
}

// evict closes the connection in favour of another one. A request of which a part has been read is not run.
func (c *conn) evict() {
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
