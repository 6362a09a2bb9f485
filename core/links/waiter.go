package links

import "sync/atomic"

// waiter is a request that waits for its reply on one connection.
type waiter struct {
	attempt int
	conn    *conn
	id      uint64
	result  chan result
	// written is set before the first byte of the request is written.
	written atomic.Bool
}
