package limit

import (
	"time"

	"ebonyrouter.dev/core"
)

const (
	// maxFaultLevel is the limit that the fault level approaches when all recent requests failed.
	maxFaultLevel = 1024
	// suspectFaultLevel is the fault level from which a target is suspect and used only as the last resort; three
	// failures in a row reach it.
	suspectFaultLevel = 512
	// maxEjectDoublings bounds an ejection to 16 times eject_ms.
	maxEjectDoublings = 4
	// nonIdempotentProbeFactor is the extra delay of probes by non-idempotent requests, as a multiple of eject_ms.
	nonIdempotentProbeFactor = 6
	// latencyRatio is the ratio of mean latencies above which one of two targets is preferred as the faster one.
	latencyRatio = 2
	// fullLoad is the relative load of a target with all slots in use.
	fullLoad = 1024
)

// tier ranks targets by zone and health; a lower tier is preferred, whatever the load. The tiers below tierSuspect are
// those of healthy targets.
type tier int

const (
	tierLocalZone tier = iota
	tierOtherZone
	// tierSuspect is the last resort: targets with a high fault level, and those that eject_max_percent keeps in use.
	tierSuspect
	tierUnusable
)

// target is the state of one upstream target; the mutex of the pool guards it.
type target struct {
	drained bool
	ejected bool
	// ejections counts the ejections since the target last returned to use.
	ejections           int
	consecutiveFailures int64
	// faultLevel rises with failures and shed requests and falls with successes; it expires eject_ms after lastFaultAt.
	faultLevel  int64
	lastFaultAt core.Instant
	inFlight    int
	// latency is the moving average of the latencies of successful responses.
	latency time.Duration
	object  string
	// owned is a hint that pool.refresh updates; the lease is checked before a slot is granted.
	owned     bool
	localZone bool
	policy    core.EffectivePolicy
	ramp      slotRamp
	ref       core.TargetRef
	removed   bool
	// lastResort marks an ejection above eject_max_percent: the target stays usable if no healthy target is.
	lastResort   bool
	ejectedUntil core.Instant
	lastGrantAt  core.Instant
}

// preferredTo reports whether t is preferred to another target of the same tier and load: the clearly faster one, or else
// the one that has been unused for longer. A target without requests would not show that it has stopped responding.
func (t *target) preferredTo(other *target) bool {
	switch {
	case latencyRatio*t.latency < other.latency:
		return true
	case latencyRatio*other.latency < t.latency:
		return false
	default:
		return t.lastGrantAt.Before(other.lastGrantAt)
	}
}

// blocked reports whether the target may take no new work, regardless of its health and load.
func (t *target) blocked() bool {
	return !t.owned || t.drained || t.removed
}

// eject takes the target out of use for eject_ms, doubled for each earlier ejection since it last returned to use. A
// target that is ejected as a last resort stays usable.
func (t *target) eject(now core.Instant, lastResort bool) {
	t.ejected = true
	t.lastResort = lastResort
	t.ejectedUntil = now.Add(milliseconds(t.policy.EjectMs) << min(t.ejections, maxEjectDoublings))
	t.ejections++
}

// tierWithoutProbe returns the tier of the target for requests that must not probe it.
func (t *target) tierWithoutProbe() tier {
	if t.lastResort || !t.ejected {
		return tierSuspect
	}
	return tierUnusable
}

// wouldProbe reports whether a non-idempotent request must not use the target because it would probe whether the target
// works again: the target is ejected or its last request failed, and the extra delay of non-idempotent probes has not
// passed. During the delay, services that also have idempotent requests probe with those, because the result of a probe may
// stay unknown.
func (t *target) wouldProbe(now core.Instant) bool {
	delay := milliseconds(t.policy.EjectMs) * nonIdempotentProbeFactor
	if t.ejected {
		return now.Before(t.ejectedUntil.Add(delay))
	}
	return t.consecutiveFailures > 0 && now.Before(t.lastFaultAt.Add(delay))
}

// currentFaultLevel returns the fault level, which drops to 0 when eject_ms have passed since the last failure.
func (t *target) currentFaultLevel(now core.Instant) int64 {
	if t.faultLevel == 0 || now.Sub(t.lastFaultAt) > milliseconds(t.policy.EjectMs) {
		return 0
	}
	return t.faultLevel
}

// freeSlots returns the number of free slots for load reports, which is 0 unless the target is healthy.
func (t *target) freeSlots(now core.Instant) int {
	targetTier, usable := t.tierAndSlots(now)
	if targetTier >= tierSuspect {
		return 0
	}
	return max(0, usable-t.inFlight)
}

// relativeLoad returns the load relative to the slots, in units of 1/fullLoad. Failures count as load, so that a target that
// fails fast does not attract requests.
func (t *target) relativeLoad(now core.Instant) int64 {
	return int64(t.inFlight)*fullLoad/int64(max(1, t.ref.Slots)) + 2*t.currentFaultLevel(now)
}

// recordFault raises the fault level after a failure or a shed request.
func (t *target) recordFault(now core.Instant) {
	t.faultLevel = t.currentFaultLevel(now)
	t.faultLevel += (maxFaultLevel - t.faultLevel) / 4
	t.lastFaultAt = now
}

// recordSuccess records a successful response. It returns an ejected target to use, with a slot ramp, once the ejection
// time has passed.
func (t *target) recordSuccess(now core.Instant, latency time.Duration) {
	t.consecutiveFailures = 0
	t.faultLevel = t.currentFaultLevel(now) * 3 / 4
	if t.latency == 0 {
		t.latency = latency
	}
	t.latency += (latency - t.latency) / 8
	if t.ejected && now.Before(t.ejectedUntil) {
		return
	}
	if t.ejected {
		t.ejected = false
		t.ejections = 0
		t.lastResort = false
		t.faultLevel = 0
		t.ramp.start(now, t.policy)
		return
	}
	t.ramp.recordSuccess(now, t.policy)
}

// restart resets the health of a target whose upstream may have changed and starts a slot ramp; slots in use still count.
func (t *target) restart(now core.Instant) {
	t.ejected, t.ejections, t.consecutiveFailures, t.faultLevel, t.latency, t.lastResort = false, 0, 0, 0, 0, false
	t.ramp.start(now, t.policy)
}

// tierAndSlots returns the tier of the target and the number of its slots that may be in use. An idle target whose ejection
// time has passed has one slot, for a probe.
func (t *target) tierAndSlots(now core.Instant) (tier, int) {
	if t.blocked() {
		return tierUnusable, 0
	}
	if t.ejected && !now.Before(t.ejectedUntil) && t.inFlight == 0 {
		return t.zoneTier(), 1
	}
	if t.ejected && !t.lastResort {
		return tierUnusable, 0
	}
	if t.ejected || t.currentFaultLevel(now) >= suspectFaultLevel {
		return tierSuspect, t.ramp.slots(t.ref.Slots)
	}
	return t.zoneTier(), t.ramp.slots(t.ref.Slots)
}

// tierAndSlotsFor returns the tier and the usable slots for a request. For a non-idempotent request that would be a
// probe, the target is suspect or unusable.
func (t *target) tierAndSlotsFor(request *core.AdmitRequest, now core.Instant) (tier, int) {
	targetTier, usable := t.tierAndSlots(now)
	if request.NonIdempotent && t.wouldProbe(now) {
		targetTier = t.tierWithoutProbe()
	}
	return targetTier, usable
}

// zoneTier returns the tier of a healthy target.
func (t *target) zoneTier() tier {
	if t.localZone {
		return tierLocalZone
	}
	return tierOtherZone
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
