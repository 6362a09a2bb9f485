package limit

import (
	"time"

	"ebonyrouter.dev/core"
)

// waiter is one queued request; the mutex of the pool guards all fields except result.
type waiter struct {
	// budget is the time from entering the queue to the deadline of the request.
	budget time.Duration
	flow   *flow
	// heapIndex is the index in the heap of the flow, or -1 if the waiter is not queued.
	heapIndex int
	result    chan waitResult
	request   core.AdmitRequest
	// sequence numbers the waiters of a queue in order of arrival.
	sequence int64
}

// waitResult ends the wait of a request; exactly one field is set.
type waitResult struct {
	grant *grant
	err   *core.RejectedError
}

// before reports whether w is served before other: by deadline, then by order of arrival.
func (w *waiter) before(other *waiter) bool {
	if w.request.Deadline != other.request.Deadline {
		return w.request.Deadline.Before(other.request.Deadline)
	}
	return w.sequence < other.sequence
}
