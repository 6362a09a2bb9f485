package links

import "sync/atomic"

// pendingRequest is a request that was sent over one connection and has no reply yet.
type pendingRequest struct {
	attempt int
	conn    *conn
	id      uint64
	result  chan result
	// written is set just before the first byte of the request is written.
	written atomic.Bool
}
