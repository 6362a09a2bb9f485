package place

import (
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/entry/rank"
)

// targetState is the state of a target on which a decision was based.
type targetState struct {
	busy           int
	coldRemaining  time.Duration
	loadAge        time.Duration
	slots          int
	targetsVersion int64
}

// fields returns the state and the identity of the request as log fields.
func (s *targetState) fields(requestID, service string) []zap.Field {
	return []zap.Field{
		zap.String("request_id", requestID), zap.String("service", service), zap.Int("busy", s.busy), zap.Int("slots", s.slots),
		zap.Duration("load_age", s.loadAge), zap.Duration("cold_left", s.coldRemaining), zap.Int64("targets_version", s.targetsVersion),
	}
}

// logPlaced logs the reasons for sending a request to its target.
func (p *Placer) logPlaced(g *grant, state targetState) {
	chosen := &g.choice
	event.RequestPlaced.Write(p.Log, append(state.fields(g.request.RequestID, g.request.Service), zap.String("target", g.ref.Target),
		zap.Uint64("key", chosen.key), zap.Bool("known_key", chosen.known > 0.5), zap.Int("place", chosen.place), zap.Int("key_distance", chosen.distance),
		zap.Bool("other_region", chosen.target.Region != p.Region), zap.Duration("expected", chosen.expected))...)
}

// logRejected logs the reasons for rejecting a request.
func (p *Placer) logRejected(request *core.AdmitRequest, d *decision, now core.Instant) {
	fields := append(d.state.fields(request.RequestID, request.Service), zap.Int("code", int(d.rejected.Code)),
		zap.String("reason", d.rejected.Text), zap.Duration("expected", d.best.expected), zap.Duration("to_deadline", request.Deadline.Sub(now)),
		zap.Duration("to_aim", max(0, request.LatencyObjective.Sub(now))), zap.Duration("retry_after", d.rejected.RetryAfter),
		zap.Strings("failed_targets", request.Avoid))
	if d.standing.Ranked {
		fields = append(fields, zap.Int64("rank", request.Priority), zap.String("customer", request.Tenant),
			zap.Float64("entitled_share", d.standing.Share), zap.Bool("entitled", d.standing.Entitled), zap.Bool("came_back", d.standing.Returned))
	}
	event.RequestRejected.Write(p.Log, fields...)
}

// logStanding logs a change in the room of a service or the excess of a customer.
func (p *Placer) logStanding(request *core.AdmitRequest, d *decision) {
	fields := []zap.Field{
		zap.String("request_id", request.RequestID), zap.String("service", request.Service), zap.Int64("rank", request.Priority),
		zap.String("customer", request.Tenant), zap.Float64("entitled_share", d.standing.Share),
	}
	switch d.standing.Notice {
	case rank.NoticeNone:
	case rank.NoticeScarce:
		event.ServiceScarce.Write(p.Log, fields...)
	case rank.NoticeRoom:
		event.ServiceRoomy.Write(p.Log, fields...)
	case rank.NoticeCustomersFull:
		event.CustomersFull.Write(p.Log, fields...)
	}
	if d.excess {
		event.CustomerExcess.Write(p.Log, fields...)
	}
}

// observeRejected counts a rejection by rank and reason.
func (p *Placer) observeRejected(request *core.AdmitRequest, d *decision) {
	if p.Refusals == nil {
		return
	}
	reason := core.RefusedLate
	switch {
	case d.best.target == nil:
		reason = core.RefusedNoTarget
	case !d.standing.Entitled && d.standing.Excessive:
		reason = core.RefusedCustomer
	case !d.standing.Entitled:
		reason = core.RefusedRank
	}
	p.Refusals.ObserveRefusal(request.Priority, reason)
}

// targetState returns the current state of a target; the mutex must be held.
func (p *Placer) targetState(t *target, now core.Instant) targetState {
	return targetState{
		busy: t.busy(now), coldRemaining: t.ColdRemaining(now), loadAge: now.Sub(t.loadTime), slots: t.Slots, targetsVersion: p.targetsVersion,
	}
}
