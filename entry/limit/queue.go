package limit

import (
	"container/heap"

	"ebonyrouter.dev/core"
)

const (
	// classBatch is the value of Ebony-Class for requests that yield to all others.
	classBatch = "batch"
	// batchShareDivisor is the inverse of the share of grants that the batch class gets under overload, so that it is not
	// starved. It also gives the share of the unreserved slots that batch requests of other regions leave free.
	batchShareDivisor = 5
)

// queue holds the waiters of one service. The earliest deadline is served first; under overload, the grants are shared
// fairly among classes and tenants.
type queue struct {
	// grantsSinceBatch counts the interactive grants under overload since the last batch grant.
	grantsSinceBatch int
	flows            map[flowKey]*flow
	length           int
	sequence         int64
}

// flowKey identifies a flow by class and tenant.
type flowKey struct {
	batch  bool
	tenant string
}

// activeFlows returns the numbers of interactive and batch flows with waiters.
func (q *queue) activeFlows() (interactive, batch int) {
	for key := range q.flows {
		if key.batch {
			batch++
		} else {
			interactive++
		}
	}
	return interactive, batch
}

// ahead estimates how many waiters are served before w, which is not in the queue yet.
func (q *queue) ahead(w *waiter, overloaded bool) int {
	if !overloaded {
		count := 0
		for _, f := range q.flows {
			count += f.ahead(w)
		}
		return count
	}
	ownAhead, key := 0, waiterKey(w)
	interactive, batch := q.activeFlows()
	if f := q.flows[key]; f != nil {
		ownAhead = f.ahead(w)
	} else if key.batch {
		batch++
	} else {
		interactive++
	}
	count := (ownAhead + 1) * interactive
	if key.batch {
		count = (ownAhead + 1) * batch
	}
	if interactive > 0 && batch > 0 {
		if key.batch {
			count *= batchShareDivisor
		} else {
			count = count * batchShareDivisor / (batchShareDivisor - 1)
		}
	}
	return min(q.length, count-1)
}

// largest returns the flow that is shortened first when the queue is full: the one with the largest weight.
func (q *queue) largest() *flow {
	var largest *flow
	for _, f := range q.flows {
		if largest == nil || f.weight() > largest.weight() ||
			f.weight() == largest.weight() && f.tenant < largest.tenant {
			largest = f
		}
	}
	return largest
}

// next returns the waiter to serve next without removing it, or nil if the queue is empty.
func (q *queue) next(overloaded bool) *waiter {
	if q.length == 0 {
		return nil
	}
	interactive, batch := q.activeFlows()
	batchNext := batch > 0 && (interactive == 0 || q.grantsSinceBatch >= batchShareDivisor-1)
	var best *flow
	for key, f := range q.flows {
		if overloaded && key.batch != batchNext {
			continue
		}
		if best == nil || overloaded && f.served < best.served ||
			(!overloaded || f.served == best.served) && f.waiters[0].before(best.waiters[0]) {
			best = f
		}
	}
	return best.waiters[0]
}

// push adds w to its flow. A flow that becomes active starts with the served count of the least served flow of its class.
func (q *queue) push(w *waiter) {
	key := waiterKey(w)
	f := q.flows[key]
	if f == nil {
		f = &flow{batch: key.batch, served: q.minServed(key.batch), tenant: key.tenant}
		q.flows[key] = f
	}
	w.flow = f
	heap.Push(f, w)
	q.length++
}

// minServed returns the lowest served count of the active flows of a class, or 0 if there are none.
func (q *queue) minServed(batch bool) int64 {
	lowest := int64(-1)
	for key, f := range q.flows {
		if key.batch == batch && (lowest < 0 || f.served < lowest) {
			lowest = f.served
		}
	}
	return max(0, lowest)
}

// remove removes w and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	if w.heapIndex < 0 {
		return false
	}
	heap.Remove(w.flow, w.heapIndex)
	q.length--
	if w.flow.Len() == 0 {
		delete(q.flows, flowKey{batch: w.flow.batch, tenant: w.flow.tenant})
	}
	return true
}

// serve removes w, which was granted a slot, and counts the grant for fairness.
func (q *queue) serve(w *waiter, overloaded bool) {
	w.flow.served++
	if w.flow.batch {
		q.grantsSinceBatch = 0
	} else if overloaded {
		q.grantsSinceBatch++
	}
	q.remove(w)
}

// requestKey returns the key of the flow to which a request belongs.
func requestKey(request *core.AdmitRequest) flowKey {
	return flowKey{batch: request.Class == classBatch, tenant: request.Tenant}
}

// waiterKey returns the key of the flow to which w belongs.
func waiterKey(w *waiter) flowKey {
	return requestKey(&w.request)
}

// weight returns the number of waiters, counted twice for batch, by which largest compares flows.
func (f *flow) weight() int {
	if f.batch {
		return 2 * f.Len()
	}
	return f.Len()
}
