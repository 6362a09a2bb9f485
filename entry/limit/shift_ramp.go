package limit

import (
	"time"

	"ebonyrouter.dev/core"
)

// failureShare is the divisor of successful answers above which failures lower the share; a few failed
// requests among many do not show that the destination is overloaded.
const failureShare = 10

// shiftRamp moves the usable share of a cap between its start and 100 percent by evidence.
type shiftRamp struct {
	admitted int64
	at       core.Instant
	failed   int64
	ok       int64
	percent  int64
	rejected int64
}

// advance evaluates the intervals that have ended; inFlight requests mean that evidence is still missing.
func (r *shiftRamp) advance(now core.Instant, policy core.EffectivePolicy, rate int64, inFlight int) {
	interval := milliseconds(policy.RampIntervalMs)
	if interval <= 0 {
		r.percent = fullPercent
		return
	}
	if r.percent == 0 {
		r.percent = max(1, policy.RampStartPercent)
		r.at = now
	}
	ended := int64(now.Sub(r.at) / interval)
	if ended == 0 {
		return
	}
	r.evaluate(policy, rate*int64(interval)/int64(time.Second), inFlight)
	if inFlight == 0 {
		r.percent -= (ended - 1) * policy.RampStepPercent
	}
	r.percent = min(fullPercent, max(r.percent, policy.RampStartPercent, 1))
	r.at = r.at.Add(time.Duration(ended) * interval)
	r.admitted, r.failed, r.ok, r.rejected = 0, 0, 0, 0
}

// evaluate changes the share by the evidence of one interval, in which allowed requests could have passed.
func (r *shiftRamp) evaluate(policy core.EffectivePolicy, allowed int64, inFlight int) {
	switch {
	case r.failed*failureShare > r.ok:
		r.percent -= policy.RampStepPercent
	case r.ok > 0 && (r.rejected > 0 || 2*r.admitted >= allowed):
		// A share that was hardly used is no evidence for a larger one.
		r.percent += policy.RampStepPercent
	case r.admitted == 0 && r.ok == 0 && r.rejected == 0 && inFlight == 0:
		r.percent -= policy.RampStepPercent
	}
}
