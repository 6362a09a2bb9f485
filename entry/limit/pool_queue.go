package limit

import (
	"slices"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// requiredAtGrant returns how much time a request with the given budget must have remaining when it gets a slot: the time
// that nearly all requests need, but at most seven eighths of the budget, so that services with a long latency tail can
// still use their queue.
func (p *pool) requiredAtGrant(budget time.Duration) time.Duration {
	return min(p.requiredTime(), budget*7/8)
}

// dispatch grants free slots to waiters in queue order and rejects waiters that have too little time remaining.
func (p *pool) dispatch(now core.Instant) {
	var skipped []*waiter
	for p.queue.length > 0 && len(skipped) < maxDispatchSkips {
		overloaded := p.overloaded(now)
		w := p.queue.next(overloaded)
		if now.Add(p.requiredAtGrant(w.budget)).After(w.request.Deadline) {
			p.queue.remove(w)
			w.result <- waitResult{err: reject(codes.DeadlineTooShort, p.expectedWait(p.queue.length, now), "too little time is left after the queue")}
			continue
		}
		t, validUntil := p.choose(&w.request, now, p.worstTier(&w.request, now))
		if t != nil {
			p.queue.serve(w, overloaded)
			w.result <- waitResult{grant: p.grantSlot(t, validUntil, &w.request, now)}
			continue
		}
		if len(w.request.Avoid) == 0 {
			break
		}
		p.queue.remove(w)
		skipped = append(skipped, w)
	}
	for _, w := range skipped {
		p.queue.push(w)
	}
}

// enqueue adds a local request to the queue if it is expected to be served before its deadline and the queue has room.
func (p *pool) enqueue(request *core.AdmitRequest, now core.Instant) (*waiter, *core.RejectedError) {
	if !p.hasUsableTarget(request.Avoid, now) {
		return nil, reject(codes.NoPermittedTarget, p.timeUntilProbe(now), "no owned target of the service is usable")
	}
	p.queue.sequence++
	w := &waiter{heapIndex: -1, result: make(chan waitResult, 1), request: *request, sequence: p.queue.sequence}
	wait := p.expectedWait(p.queue.ahead(w, p.overloaded(now))+1, now)
	w.budget = request.Deadline.Sub(now)
	if now.Add(wait + p.requiredAtEnqueue(w.budget)).After(request.Deadline) {
		return nil, reject(codes.DeadlineTooShort, wait, "expected wait exceeds the deadline")
	}
	if p.queue.length >= int(p.policy.QueueMax) && !p.evict(w, now) {
		return nil, reject(codes.QueueFull, p.expectedWait(p.queue.length, now), "queue of the service is full")
	}
	p.version.Add(1)
	p.queue.push(w)
	p.dispatch(now)
	return w, nil
}

// evict makes room for w by rejecting the waiter with the latest deadline in the largest flow. It returns false if adding
// w would make its own flow at least as large.
func (p *pool) evict(w *waiter, now core.Instant) bool {
	largest := p.queue.largest()
	if largest == nil {
		return false
	}
	key := waiterKey(w)
	ownFlow := &flow{batch: key.batch}
	if f := p.queue.flows[key]; f != nil {
		ownFlow = f
	}
	addedWeight := 1
	if key.batch {
		addedWeight = 2
	}
	if ownFlow == largest || ownFlow.weight()+addedWeight >= largest.weight() {
		return false
	}
	victim := largest.latest()
	p.queue.remove(victim)
	victim.result <- waitResult{err: reject(codes.QueueFull, p.expectedWait(p.queue.length, now), "queue of the service is full")}
	return true
}

// expectedWait returns the expected wait at a position of the queue, counted from 1.
func (p *pool) expectedWait(position int, now core.Instant) time.Duration {
	_, _, usable := p.capacity(now)
	return p.meanServiceTime * time.Duration(position) / time.Duration(max(1, usable))
}

// abandon removes a waiter whose request stopped waiting. If it was granted a slot in the meantime, the slot is freed.
func (p *pool) abandon(w *waiter) {
	p.mu.Lock()
	queued := p.queue.remove(w)
	p.version.Add(1)
	p.mu.Unlock()
	if queued {
		return
	}
	if r := <-w.result; r.grant != nil {
		r.grant.Release(core.Outcome{})
	}
}

// overloaded reports whether more requests are queued than there are usable slots.
func (p *pool) overloaded(now core.Instant) bool {
	_, _, usable := p.capacity(now)
	return p.queue.length > usable
}

// hasUsableTarget reports whether an owned target outside avoid can take work now or once a slot is free.
func (p *pool) hasUsableTarget(avoid []string, now core.Instant) bool {
	for _, t := range p.targets {
		if _, slots := t.tierAndSlots(now); slots > 0 && !slices.Contains(avoid, t.ref.Target) {
			return true
		}
	}
	return false
}

// tick applies new settings and ownership, grants free slots and rejects waiters that no owned target can serve.
func (p *pool) tick(now core.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version.Add(1)
	p.refresh(now)
	p.dispatch(now)
	for _, f := range p.queue.flows {
		for _, w := range slices.Clone(f.waiters) {
			if !p.hasUsableTarget(w.request.Avoid, now) {
				p.queue.remove(w)
				w.result <- waitResult{err: reject(codes.NoPermittedTarget, p.timeUntilProbe(now), "no owned target of the service is usable")}
			}
		}
	}
}
