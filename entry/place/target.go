package place

import (
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/pause"
)

const (
	// firstBackoff is the time for which a target is avoided after a failure. It doubles with each consecutive failure.
	firstBackoff = 250 * time.Millisecond
	// maxBackoff bounds the time for which a failing target is avoided. It is also the time for which a target is avoided
	// whose address now belongs to another one.
	maxBackoff = 4 * time.Second
	// failureLimit is the number of consecutive failures after which a target no longer counts as working.
	failureLimit = 2
	// shedBackoff is the time for which a target that rejected a request is avoided as full.
	shedBackoff = 100 * time.Millisecond
	// slowdownDecay is the age at which half of a target's measured slowdown is forgotten.
	slowdownDecay = 4 * time.Second
	// loadMaxAge is the age beyond which a load report is stale.
	loadMaxAge = 3 * time.Second
)

// target is the state that this process keeps about one target; the placer's mutex guards it.
type target struct {
	core.Target
	// coldNext is the time before which a cold target must not get another request.
	coldNext            core.Instant
	consecutiveFailures int
	// hash is the hash of the target's ID.
	hash uint64
	// inFlight counts the requests of this host at the target.
	inFlight int
	keys     recentKeys
	// outstanding holds the requests without a response that have not been abandoned.
	outstanding []*grant
	// otherRequests is the number of requests that the target reported at loadTime, without those of this host.
	otherRequests int
	loadTime      core.Instant
	// peerRequests is the number of requests of the other hosts of the region, summed up from their reports at peersTime.
	peerRequests int
	peersTime    core.Instant
	// slowdown is the moving average of the target's service times relative to the means of their routes, as of
	// slowdownTime.
	slowdown     float64
	slowdownTime core.Instant
	avoidUntil   core.Instant
	workTime     workTime
	// pause is what the target has asked for. Unlike avoidUntil, a success does not end it.
	pause pause.Target
}

// busy estimates the number of requests that are running or queued at the target. A fresh load report of the target takes
// precedence over peer reports, and these over an older load report.
func (t *target) busy(now core.Instant) int {
	loadAge, peersAge := now.Sub(t.loadTime), now.Sub(t.peersTime)
	switch {
	case loadAge <= loadFreshAge || peersAge > peerReportMaxAge && loadAge <= loadMaxAge:
		return t.inFlight + t.otherRequests
	case peersAge <= peerReportMaxAge:
		return t.inFlight + t.peerRequests
	default:
		return t.inFlight
	}
}

// recordFailure avoids the target for a time that grows with the number of consecutive failures.
func (t *target) recordFailure(now core.Instant) {
	t.avoidUntil = now.Add(min(maxBackoff, firstBackoff<<min(t.consecutiveFailures, 8)))
	t.consecutiveFailures++
}

// recordLoad applies a load report of the target.
func (t *target) recordLoad(now core.Instant, load core.TargetLoad) {
	t.otherRequests = max(0, load.Busy()-t.inFlight)
	t.loadTime = now
	t.workTime.record(now, load.TimePercent)
}

// recordSuccess ends the backoff and adds the ratio of a response's service time to the mean of its route to the slowdown.
func (t *target) recordSuccess(now core.Instant, ratio float64) {
	t.consecutiveFailures = 0
	t.avoidUntil = 0
	t.slowdown = t.currentSlowdown(now)
	t.slowdown += (ratio - t.slowdown) / 4
	t.slowdownTime = now
}

// currentSlowdown returns the slowdown of the target, which decays to 1 without new measurements.
func (t *target) currentSlowdown(now core.Instant) float64 {
	if t.slowdownTime == 0 {
		return 1
	}
	age := float64(now.Sub(t.slowdownTime)) / float64(slowdownDecay)
	return 1 + (t.slowdown-1)/(1+age)
}

// apply applies a registry entry. If the target was restarted, its earlier state is discarded except for the requests in
// flight.
func (t *target) apply(entry core.Target) {
	if t.StartedMs != entry.StartedMs || t.Address != entry.Address {
		*t = target{inFlight: t.inFlight}
	}
	t.Target = entry
	t.hash = hash(entry.ID, "")
}
