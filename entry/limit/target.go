package limit

import (
	"time"

	"ebonyrouter.dev/core"
)

const (
	// faultFull is the fault level of a target whose recent requests all failed.
	faultFull = 1024
	// faultAvoid is the fault level from which a target is used only when no other has a free slot;
	// three failures in a row reach it.
	faultAvoid = 512
	// maxEjectDoublings bounds an ejection to 16 times eject_ms.
	maxEjectDoublings = 4
	// nonIdempotentProbeDelay is the number of eject_ms that a non-idempotent probe comes later than another one.
	nonIdempotentProbeDelay = 6
	// latencyRatio is the ratio from which latencies of targets are told apart.
	latencyRatio = 2
	// loadUnit is the load of a target with all slots in use.
	loadUnit = 1024
)

// tier orders targets before their load does; a lower tier is preferred.
type tier int

const (
	tierOwnZone tier = iota
	tierOtherZone
	tierSuspect
	tierUnusable
)

// target is the local state of one upstream target; the pool's mutex guards it.
type target struct {
	drained bool
	ejected bool
	// ejections counts the ejections since the last time that the target returned to use.
	ejections int
	failures  int64
	fault     int64
	faultAt   core.Instant
	inFlight  int
	latency   time.Duration
	object    string
	owned     bool
	ownZone   bool
	policy    core.EffectivePolicy
	ramp      slotRamp
	ref       core.TargetRef
	removed   bool
	// soft marks an ejection above the ceiling: the target stays usable as the last resort.
	soft   bool
	until  core.Instant
	usedAt core.Instant
}

// before reports whether the target is preferred to another one of the same tier and load: one that is clearly faster,
// or else the one that was not used for longer. A target without requests would not show that it has stopped answering.
func (t *target) before(other *target) bool {
	switch {
	case latencyRatio*t.latency < other.latency:
		return true
	case latencyRatio*other.latency < t.latency:
		return false
	default:
		return t.usedAt.Before(other.usedAt)
	}
}

// blocked reports whether the target takes no new work whatever its load is.
func (t *target) blocked() bool {
	return !t.owned || t.drained || t.removed
}

// eject takes the target out of use until eject_ms have passed, twice as long after each probe that failed.
func (t *target) eject(now core.Instant, soft bool) {
	t.ejected = true
	t.soft = soft
	t.until = now.Add(milliseconds(t.policy.EjectMs) << min(t.ejections, maxEjectDoublings))
	t.ejections++
}

// lastResort returns the tier of a target for requests that must not probe it.
func (t *target) lastResort() tier {
	if t.soft || !t.ejected {
		return tierSuspect
	}
	return tierUnusable
}

// probing reports whether the target is ejected, or failed its newest request, and a request would show whether it works
// again. A non-idempotent
// request waits longer before it is one, so that services with idempotent requests never probe with a request whose
// outcome may be lost.
func (t *target) probing(now core.Instant) bool {
	delay := milliseconds(t.policy.EjectMs) * nonIdempotentProbeDelay
	if t.ejected {
		return now.Before(t.until.Add(delay))
	}
	return t.failures > 0 && now.Before(t.faultAt.Add(delay))
}

// faultLevel returns the fault level, which ends eject_ms after the newest failure.
func (t *target) faultLevel(now core.Instant) int64 {
	if t.fault == 0 || now.Sub(t.faultAt) > milliseconds(t.policy.EjectMs) {
		return 0
	}
	return t.fault
}

// free returns the free slots in good standing, which are the ones that load reports show.
func (t *target) free(now core.Instant) int {
	level, usable := t.standing(now)
	if level >= tierSuspect {
		return 0
	}
	return max(0, usable-t.inFlight)
}

// load returns the relative load; failures count as load so that fast failures attract nothing.
func (t *target) load(now core.Instant) int64 {
	return int64(t.inFlight)*loadUnit/int64(max(1, t.ref.Slots)) + 2*t.faultLevel(now)
}

// recordFault notes a failure or a shed request for ranking.
func (t *target) recordFault(now core.Instant) {
	t.fault = t.faultLevel(now)
	t.fault += (faultFull - t.fault) / 4
	t.faultAt = now
}

// recordSuccess notes a successful answer and returns an ejected target to use, with a slot ramp.
func (t *target) recordSuccess(now core.Instant, latency time.Duration) {
	t.failures = 0
	t.fault = t.faultLevel(now) * 3 / 4
	if t.latency == 0 {
		t.latency = latency
	}
	t.latency += (latency - t.latency) / 8
	if t.ejected && now.Before(t.until) {
		return
	}
	if t.ejected {
		t.ejected = false
		t.ejections = 0
		t.soft = false
		t.fault = 0
		t.ramp.start(now, t.policy)
		return
	}
	t.ramp.success(now, t.policy)
}

// restart forgets the health of the target, which is not known any more, and raises its usable slots in steps; the slots
// in use still count.
func (t *target) restart(now core.Instant) {
	t.ejected, t.ejections, t.failures, t.fault, t.latency, t.soft = false, 0, 0, 0, 0, false
	t.ramp.start(now, t.policy)
}

// standing returns the tier of the target and the number of its slots that may be in use.
func (t *target) standing(now core.Instant) (tier, int) {
	if t.blocked() {
		return tierUnusable, 0
	}
	if t.ejected && !now.Before(t.until) && t.inFlight == 0 {
		return t.zoneTier(), 1
	}
	if t.ejected && !t.soft {
		return tierUnusable, 0
	}
	if t.ejected || t.faultLevel(now) >= faultAvoid {
		return tierSuspect, t.ramp.slots(t.ref.Slots)
	}
	return t.zoneTier(), t.ramp.slots(t.ref.Slots)
}

// standingFor returns the standing for a request; a non-idempotent one must not be a probe.
func (t *target) standingFor(request *core.AdmitRequest, now core.Instant) (tier, int) {
	level, usable := t.standing(now)
	if request.NonIdempotent && t.probing(now) {
		level = t.lastResort()
	}
	return level, usable
}

// zoneTier returns the tier of a target in good standing.
func (t *target) zoneTier() tier {
	if t.ownZone {
		return tierOwnZone
	}
	return tierOtherZone
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
