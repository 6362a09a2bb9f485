package limit

import (
	"time"

	"ebonyrouter.dev/core"
)

// waiter is one queued request; the pool's mutex guards all fields but ready.
type waiter struct {
	// budget is the time that the request had when it entered the queue.
	budget   time.Duration
	flow     *flow
	index    int
	ready    chan answer
	request  core.AdmitRequest
	sequence int64
}

// answer ends the wait of a request, with either field set.
type answer struct {
	grant *grant
	err   *core.RejectedError
}

// before orders waiters by deadline, then by arrival.
func (w *waiter) before(other *waiter) bool {
	if w.request.Deadline != other.request.Deadline {
		return w.request.Deadline.Before(other.request.Deadline)
	}
	return w.sequence < other.sequence
}
