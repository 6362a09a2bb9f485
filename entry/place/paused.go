package place

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

// paused reports whether the target of a grant has asked that nothing new is sent to it.
func (p *Placer) paused(g *grant) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := g.choice.target
	return t.StartedMs == g.startedMs && t.pause.Active(p.Timer.Now())
}

// recordPause records what the target of a grant asks for, unless it has started again since the grant.
func (p *Placer) recordPause(g *grant, request core.PauseRequest) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t, now := g.choice.target, p.Timer.Now()
	if t.StartedMs != g.startedMs || t.Address != g.ref.Address {
		return
	}
	if !t.pause.Active(now) {
		event.TargetPaused.Write(p.Log, zap.String("request_id", g.request.RequestID), zap.String("service", t.Service), zap.String("target", t.ID),
			zap.Bool("leaving", request.Leaving), zap.Duration("retry_after", request.RetryAfter))
	}
	t.pause.Record(request, now)
}

// retryAfter returns the time after which a request may be served that no target may get now. If all targets that could serve it have
// asked for a pause, this is the time until the first pause ends.
func (p *Placer) retryAfter(request *core.AdmitRequest, now core.Instant) time.Duration {
	s := p.services[request.Service]
	if s == nil {
		return noTargetRetryAfter
	}
	first := time.Duration(0)
	for _, t := range slices.Concat(s.local.targets, s.remote.targets) {
		if !p.working(t, request) {
			continue
		}
		remaining := t.pause.Remaining(now)
		if remaining == 0 {
			return noTargetRetryAfter
		}
		if first == 0 || remaining < first {
			first = remaining
		}
	}
	if first == 0 {
		return noTargetRetryAfter
	}
	return max(minRetryAfter, first)
}
