package proxy

import (
	"context"
	"time"
)

// choose takes the attempt that ended if it has a response, else the other one.
func (p *Proxy) choose(rq *request, ended, other *racer, rp *reply) *reply {
	if rp.failure == nil && !rp.rejected() {
		p.tasks.Go(other.abandon)
		return ended.take(rp)
	}
	last := <-other.done
	if rp.final || last.failure == nil {
		rq.note(rp)
		p.discard(rp)
		ended.cancel()
		return other.take(last)
	}
	rq.note(last)
	other.cancel()
	return ended.take(rp)
}

// hedged makes one attempt and, for idempotent requests, a second one elsewhere when the first is slow.
func (p *Proxy) hedged(ctx context.Context, rq *request) *reply {
	if rq.policy.HedgeAfterMs <= 0 || !rq.idempotent() || rq.streamed || rq.relayed() {
		return p.attempt(ctx, rq)
	}
	first := p.startAttempt(ctx, rq)
	select {
	case rp := <-first.done:
		return first.take(rp)
	case <-p.Timer.After(time.Duration(rq.policy.HedgeAfterMs) * time.Millisecond):
	}
	if !rq.avoidBusy() || !p.Budget.AllowHedge(rq.service) {
		return first.take(<-first.done)
	}
	second := p.startAttempt(ctx, rq)
	select {
	case rp := <-first.done:
		return p.choose(rq, first, second, rp)
	case rp := <-second.done:
		return p.choose(rq, second, first, rp)
	}
}

// startAttempt makes an attempt in its own goroutine.
func (p *Proxy) startAttempt(ctx context.Context, rq *request) *racer {
	attemptCtx, cancel := context.WithCancel(ctx)
	r := &racer{cancel: cancel, done: make(chan *reply, 1)}
	p.tasks.Go(func() { r.done <- p.attempt(attemptCtx, rq) })
	return r
}
