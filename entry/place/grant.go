package place

import (
	"math"
	"sync"

	"ebonyrouter.dev/core"
)

var (
	_ core.Grant         = (*grant)(nil)
	_ core.PausableGrant = (*grant)(nil)
)

// grant is the permission to send one request to a target; it counts as in flight there until it is released.
type grant struct {
	// choice is the target and what was expected of it.
	choice choice
	// sent is the time at which the target was chosen.
	sent core.Instant
	// abandoned means that the request was given up and may still be running at the target.
	abandoned bool
	mutex     sync.Mutex
	placer    *Placer
	ref       core.TargetRef
	request   core.AdmitRequest
	released  bool
	// startedMs identifies the start of the target for which the grant is.
	startedMs int64
}

// Release implements core.Grant.Release.
func (g *grant) Release(outcome core.Outcome) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.released {
		return
	}
	first := !g.abandoned
	g.abandoned = outcome.Abandoned
	g.released = !outcome.Abandoned
	g.placer.release(g, outcome, first)
}

// Paused implements core.PausableGrant.Paused.
func (g *grant) Paused() bool {
	return g.placer.paused(g)
}

// RecordPause implements core.PausableGrant.RecordPause.
func (g *grant) RecordPause(request core.PauseRequest) {
	if request != (core.PauseRequest{}) {
		g.placer.recordPause(g, request)
	}
}

// Target implements core.Grant.Target.
func (g *grant) Target() core.TargetRef {
	return g.ref
}

// ValidUntil implements core.Grant.ValidUntil. Targets limit their own concurrency, so a grant never expires.
func (g *grant) ValidUntil() core.Instant {
	return math.MaxInt64
}
