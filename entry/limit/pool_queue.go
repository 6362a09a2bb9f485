package limit

import (
	"slices"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// allowance returns the part of a request's time that must be left when it gets a slot: what nearly all
// requests need, but at most seven eighths, so that services with a long tail still use their queue. A busy process has
// not seen the request for some time before it is admitted, and needs as long again to answer it.
func (p *pool) allowance(budget time.Duration) time.Duration {
	return min(p.demand(), budget*7/8)
}

// dispatch grants free slots to waiters in the order of the queue.
func (p *pool) dispatch(now core.Instant) {
	var skipped []*waiter
	for p.queue.length > 0 && len(skipped) < dispatchSkips {
		overloaded := p.overloaded(now)
		w := p.queue.next(overloaded)
		if now.Add(p.allowance(w.budget)).After(w.request.Deadline) {
			p.queue.remove(w)
			w.ready <- answer{err: reject(codes.DeadlineTooShort, p.expected(p.queue.length, now), "too little time is left after the queue")}
			continue
		}
		t, until := p.choose(&w.request, now, p.worst(&w.request, now))
		if t != nil {
			p.queue.serve(w, overloaded)
			w.ready <- answer{grant: p.take(t, until, &w.request, now)}
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

// enqueue adds a local request to the queue if it can be served before its deadline.
func (p *pool) enqueue(request *core.AdmitRequest, now core.Instant) (*waiter, *core.RejectedError) {
	if !p.permits(request.Avoid, now) {
		return nil, reject(codes.NoPermittedTarget, p.untilProbe(now), "no owned target of the service is usable")
	}
	p.queue.sequence++
	w := &waiter{index: -1, ready: make(chan answer, 1), request: *request, sequence: p.queue.sequence}
	wait := p.expected(p.queue.ahead(w, p.overloaded(now))+1, now)
	w.budget = request.Deadline.Sub(now)
	if now.Add(wait + p.headroom(w.budget)).After(request.Deadline) {
		return nil, reject(codes.DeadlineTooShort, wait, "expected wait exceeds the deadline")
	}
	if p.queue.length >= int(p.policy.QueueMax) && !p.evict(w, now) {
		return nil, reject(codes.QueueFull, p.expected(p.queue.length, now), "queue of the service is full")
	}
	p.version.Add(1)
	p.queue.push(w)
	p.dispatch(now)
	return w, nil
}

// evict makes room for w by rejecting the latest waiter of the largest flow, if that flow has more than its share.
func (p *pool) evict(w *waiter, now core.Instant) bool {
	largest := p.queue.largest()
	if largest == nil {
		return false
	}
	key := keyOf(w)
	own := &flow{batch: key.batch}
	if f := p.queue.flows[key]; f != nil {
		own = f
	}
	gain := 1
	if key.batch {
		gain = 2
	}
	if own == largest || own.weight()+gain >= largest.weight() {
		return false
	}
	victim := largest.latest()
	p.queue.remove(victim)
	victim.ready <- answer{err: reject(codes.QueueFull, p.expected(p.queue.length, now), "queue of the service is full")}
	return true
}

// expected returns the expected wait of the waiter at a position of the queue, counted from 1.
func (p *pool) expected(position int, now core.Instant) time.Duration {
	_, _, usable := p.capacity(now)
	return p.hold * time.Duration(position) / time.Duration(max(1, usable))
}

// leave takes a waiter out of the queue; a grant that was already made is given back.
func (p *pool) leave(w *waiter) {
	p.mu.Lock()
	queued := p.queue.remove(w)
	p.version.Add(1)
	p.mu.Unlock()
	if queued {
		return
	}
	if a := <-w.ready; a.grant != nil {
		a.grant.Release(core.Outcome{})
	}
}

// overloaded reports whether more requests wait than there are usable slots.
func (p *pool) overloaded(now core.Instant) bool {
	_, _, usable := p.capacity(now)
	return p.queue.length > usable
}

// permits reports whether an owned target outside avoid may take work once it has a free slot.
func (p *pool) permits(avoid []string, now core.Instant) bool {
	for _, t := range p.targets {
		if _, slots := t.standing(now); slots > 0 && !slices.Contains(avoid, t.ref.Target) {
			return true
		}
	}
	return false
}

// pump renews settings and ownership, and rejects or grants what has changed for the waiters.
func (p *pool) pump(now core.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version.Add(1)
	p.refresh(now)
	p.dispatch(now)
	for _, f := range p.queue.flows {
		for _, w := range slices.Clone(f.waiters) {
			if !p.permits(w.request.Avoid, now) {
				p.queue.remove(w)
				w.ready <- answer{err: reject(codes.NoPermittedTarget, p.untilProbe(now), "no owned target of the service is usable")}
			}
		}
	}
}
