package place

import (
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
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
func (p *Placer) logRejected(request *core.AdmitRequest, best choice, state targetState, rejected *core.RejectedError, now core.Instant) {
	event.RequestRejected.Write(p.Log, append(state.fields(request.RequestID, request.Service), zap.Int("code", int(rejected.Code)),
		zap.String("reason", rejected.Text), zap.Duration("expected", best.expected), zap.Duration("to_deadline", request.Deadline.Sub(now)),
		zap.Duration("to_aim", max(0, request.LatencyObjective.Sub(now))), zap.Duration("retry_after", rejected.RetryAfter),
		zap.Strings("failed_targets", request.Avoid))...)
}

// targetState returns the current state of a target; the mutex must be held.
func (p *Placer) targetState(t *target, now core.Instant) targetState {
	return targetState{
		busy: t.busy(now), coldRemaining: t.ColdRemaining(now), loadAge: now.Sub(t.loadTime), slots: t.Slots, targetsVersion: p.targetsVersion,
	}
}
