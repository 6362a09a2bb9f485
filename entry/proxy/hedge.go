package proxy

import (
	"context"
	"time"
)

// chooseResult returns the result of the attempt that ended first, unless it failed or did not run the request. In that
// case it waits for the other attempt and prefers its response.
func (p *Proxy) chooseResult(req *request, ended, other *hedgeAttempt, result *attemptResult) *attemptResult {
	if result.failure == nil && !result.provenNotRun() {
		p.tasks.Go(other.abandon)
		return ended.accept(result)
	}
	last := <-other.done
	if result.final || last.failure == nil {
		req.recordRan(result)
		p.discard(result)
		ended.cancel()
		return other.accept(last)
	}
	req.recordRan(last)
	other.cancel()
	return ended.accept(result)
}

// attemptHedged makes one attempt. For an idempotent request it starts a second one at another destination if the first
// has no result after HedgeAfterMs and the hedge budget permits it.
func (p *Proxy) attemptHedged(ctx context.Context, req *request) *attemptResult {
	if req.policy.HedgeAfterMs <= 0 || !req.idempotent() || req.streamed || req.relayed() {
		return p.attempt(ctx, req)
	}
	first := p.startAttempt(ctx, req)
	select {
	case result := <-first.done:
		return first.accept(result)
	case <-p.Timer.After(time.Duration(req.policy.HedgeAfterMs) * time.Millisecond):
	}
	if !req.avoidCurrent() || !p.Budget.AllowHedge(req.service) {
		return first.accept(<-first.done)
	}
	second := p.startAttempt(ctx, req)
	select {
	case result := <-first.done:
		return p.chooseResult(req, first, second, result)
	case result := <-second.done:
		return p.chooseResult(req, second, first, result)
	}
}

// startAttempt starts an attempt in its own goroutine.
func (p *Proxy) startAttempt(ctx context.Context, req *request) *hedgeAttempt {
	attemptCtx, cancel := context.WithCancel(ctx)
	h := &hedgeAttempt{cancel: cancel, done: make(chan *attemptResult, 1)}
	p.tasks.Go(func() { h.done <- p.attempt(attemptCtx, req) })
	return h
}
