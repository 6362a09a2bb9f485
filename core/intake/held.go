package intake

const (
	// defaultMaxHeldBytes is the default of Server.MaxHeldBytes. It holds a page of results or a thumbnail of each pipelined request.
	defaultMaxHeldBytes = 1 << 20
	// minPartBytes and maxPartBytes bound the buffers that a held response is made of.
	minPartBytes = 512
	maxPartBytes = 32 << 10
)

// held is the part of a response body that was not written to the connection. Its memory is reserved from the connection, which
// counts whole buffers rather than the bytes in them.
type held struct {
	conn     *conn
	parts    [][]byte
	reserved int64
	size     int
}

// add copies data and reports whether the connection permits to hold it. remaining is the length of the rest of the body,
// including data, or -1.
func (h *held) add(data []byte, remaining int64) bool {
	free := 0
	if n := len(h.parts); n > 0 {
		free = cap(h.parts[n-1]) - len(h.parts[n-1])
	}
	rest := len(data) - free
	var part []byte
	if rest > 0 {
		capacity := max(rest, min(max(h.size, minPartBytes), maxPartBytes))
		if remaining >= 0 {
			capacity = max(rest, int(min(int64(capacity), remaining-int64(free))))
		}
		if !h.conn.reserve(int64(capacity)) {
			return false
		}
		h.reserved += int64(capacity)
		part = make([]byte, 0, capacity)
	}
	first := min(free, len(data))
	if first > 0 {
		last := len(h.parts) - 1
		h.parts[last] = append(h.parts[last], data[:first]...)
	}
	if rest > 0 {
		h.parts = append(h.parts, append(part, data[first:]...))
	}
	h.size += len(data)
	return true
}

// clear drops the data and releases its memory.
func (h *held) clear() {
	h.conn.release(h.reserved)
	h.parts, h.reserved, h.size = nil, 0, 0
}

// reserve counts bytes that a response of the connection is about to hold. It returns false if they would exceed the bound of the
// connection or the budget of the process.
func (c *conn) reserve(bytes int64) bool {
	limit := c.server.MaxHeldBytes
	if limit <= 0 {
		limit = defaultMaxHeldBytes
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.heldBytes+bytes > limit || c.server.Memory != nil && !c.server.Memory.Reserve(bytes) {
		return false
	}
	c.heldBytes += bytes
	return true
}

// release returns bytes that were reserved.
func (c *conn) release(bytes int64) {
	if bytes == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.heldBytes -= bytes
	if c.server.Memory != nil {
		c.server.Memory.Release(bytes)
	}
}
