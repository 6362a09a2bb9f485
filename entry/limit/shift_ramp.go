package limit

import (
	"time"

	"ebonyrouter.dev/core"
)

// minSuccessesPerFailure is the ratio of successful to failed requests below which the share is lowered; a few failed
// requests among many do not show that the destination is overloaded.
const minSuccessesPerFailure = 10

// shiftRamp moves the usable share of a cap between the start percentage and 100 percent. It counts admissions and
// outcomes in the interval that begins at intervalStart.
type shiftRamp struct {
	admitted      int64
	intervalStart core.Instant
	failed        int64
	succeeded     int64
	percent       int64
	rejected      int64
}

// advance evaluates the intervals that have ended. The share falls by one step for each interval without traffic, but not
// while requests are in flight, because their outcomes are not known yet.
func (r *shiftRamp) advance(now core.Instant, policy core.EffectivePolicy, rate int64, inFlight int) {
	interval := milliseconds(policy.RampIntervalMs)
	if interval <= 0 {
		r.percent = fullPercent
		return
	}
	if r.percent == 0 {
		r.percent = max(1, policy.RampStartPercent)
		r.intervalStart = now
	}
	ended := int64(now.Sub(r.intervalStart) / interval)
	if ended == 0 {
		return
	}
	r.evaluate(policy, rate*int64(interval)/int64(time.Second), inFlight)
	if inFlight == 0 {
		r.percent -= (ended - 1) * policy.RampStepPercent
	}
	r.percent = min(fullPercent, max(r.percent, policy.RampStartPercent, 1))
	r.intervalStart = r.intervalStart.Add(time.Duration(ended) * interval)
	r.admitted, r.failed, r.succeeded, r.rejected = 0, 0, 0, 0
}

// evaluate changes the share by at most one step according to one interval, in which up to permitted requests could have
// been admitted.
func (r *shiftRamp) evaluate(policy core.EffectivePolicy, permitted int64, inFlight int) {
	switch {
	case r.failed*minSuccessesPerFailure > r.succeeded:
		r.percent -= policy.RampStepPercent
	case r.succeeded > 0 && (r.rejected > 0 || 2*r.admitted >= permitted):
		// Success at a fraction of the permitted rate does not show that the destination can serve more.
		r.percent += policy.RampStepPercent
	case r.admitted == 0 && r.succeeded == 0 && r.rejected == 0 && inFlight == 0:
		r.percent -= policy.RampStepPercent
	}
}
