package limit

import (
	"container/heap"

	"ebonyrouter.dev/core"
)

const (
	// classBatch is the value of Ebony-Class that yields to all others.
	classBatch = "batch"
	// batchTurn is the number of grants under overload of which one goes to batch, so that it is not starved.
	batchTurn = 5
)

// queue holds the waiters of one service: earliest deadline first, and fair by class and tenant under overload.
type queue struct {
	// batchSince counts the interactive grants under overload since the newest batch grant.
	batchSince int
	flows      map[flowKey]*flow
	length     int
	sequence   int64
}

// flowKey identifies a flow.
type flowKey struct {
	batch  bool
	tenant string
}

// active returns the number of flows with waiters, interactive and batch.
func (q *queue) active() (interactive, batch int) {
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
	own, key := 0, keyOf(w)
	interactive, batch := q.active()
	if f := q.flows[key]; f != nil {
		own = f.ahead(w)
	} else if key.batch {
		batch++
	} else {
		interactive++
	}
	count := (own + 1) * interactive
	if key.batch {
		count = (own + 1) * batch
	}
	if interactive > 0 && batch > 0 {
		if key.batch {
			count *= batchTurn
		} else {
			count = count * batchTurn / (batchTurn - 1)
		}
	}
	return min(q.length, count-1)
}

// largest returns the flow that a full queue should shorten first: the longest, and batch counts double.
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

// next returns the waiter whose turn it is, without removing it.
func (q *queue) next(overloaded bool) *waiter {
	if q.length == 0 {
		return nil
	}
	interactive, batch := q.active()
	turn := batch > 0 && (interactive == 0 || q.batchSince >= batchTurn-1)
	var best *flow
	for key, f := range q.flows {
		if overloaded && key.batch != turn {
			continue
		}
		if best == nil || overloaded && f.served < best.served ||
			(!overloaded || f.served == best.served) && f.waiters[0].before(best.waiters[0]) {
			best = f
		}
	}
	return best.waiters[0]
}

// push adds w to its flow; a flow that becomes active starts level with the least served flow of its class.
func (q *queue) push(w *waiter) {
	key := keyOf(w)
	f := q.flows[key]
	if f == nil {
		f = &flow{batch: key.batch, served: q.leastServed(key.batch), tenant: key.tenant}
		q.flows[key] = f
	}
	w.flow = f
	heap.Push(f, w)
	q.length++
}

// leastServed returns the smallest served count of the active flows of a class.
func (q *queue) leastServed(batch bool) int64 {
	least := int64(-1)
	for key, f := range q.flows {
		if key.batch == batch && (least < 0 || f.served < least) {
			least = f.served
		}
	}
	return max(0, least)
}

// remove takes w out of the queue and reports whether it was in it.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(w.flow, w.index)
	q.length--
	if w.flow.Len() == 0 {
		delete(q.flows, flowKey{batch: w.flow.batch, tenant: w.flow.tenant})
	}
	return true
}

// serve removes w because it was granted a slot and counts the grant for fairness.
func (q *queue) serve(w *waiter, overloaded bool) {
	w.flow.served++
	if w.flow.batch {
		q.batchSince = 0
	} else if overloaded {
		q.batchSince++
	}
	q.remove(w)
}

func flowOf(request *core.AdmitRequest) flowKey {
	return flowKey{batch: request.Class == classBatch, tenant: request.Tenant}
}

func keyOf(w *waiter) flowKey {
	return flowOf(&w.request)
}

// weight returns the length that largest compares.
func (f *flow) weight() int {
	if f.batch {
		return 2 * f.Len()
	}
	return f.Len()
}
