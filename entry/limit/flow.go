package limit

import (
	"container/heap"

	"ebonyrouter.dev/core"
)

var _ heap.Interface = (*flow)(nil)

// flow is a heap of the waiters of one class and tenant, ordered by deadline.
type flow struct {
	batch bool
	// latestDeadline is the latest deadline of all waiters that were ever in the flow.
	latestDeadline core.Instant
	// served counts the grants, which are shared evenly among the flows of a class under overload.
	served  int64
	tenant  string
	waiters []*waiter
}

// Len implements heap.Interface.Len.
func (f *flow) Len() int {
	return len(f.waiters)
}

// Less implements heap.Interface.Less.
func (f *flow) Less(i, j int) bool {
	return f.waiters[i].before(f.waiters[j])
}

// Pop implements heap.Interface.Pop.
func (f *flow) Pop() any {
	lastIndex := len(f.waiters) - 1
	w := f.waiters[lastIndex]
	f.waiters[lastIndex] = nil
	f.waiters = f.waiters[:lastIndex]
	w.heapIndex = -1
	return w
}

// Push implements heap.Interface.Push.
func (f *flow) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(f.waiters)
	f.latestDeadline = max(f.latestDeadline, w.request.Deadline)
	f.waiters = append(f.waiters, w)
}

// Swap implements heap.Interface.Swap.
func (f *flow) Swap(i, j int) {
	f.waiters[i], f.waiters[j] = f.waiters[j], f.waiters[i]
	f.waiters[i].heapIndex = i
	f.waiters[j].heapIndex = j
}

// ahead returns the number of waiters that are served before w, which is not in the flow yet.
func (f *flow) ahead(w *waiter) int {
	if !w.request.Deadline.Before(f.latestDeadline) {
		return len(f.waiters)
	}
	count := 0
	for _, other := range f.waiters {
		if other.before(w) {
			count++
		}
	}
	return count
}

// latest returns the waiter with the latest deadline.
func (f *flow) latest() *waiter {
	var latest *waiter
	for _, w := range f.waiters {
		if latest == nil || latest.before(w) {
			latest = w
		}
	}
	return latest
}
