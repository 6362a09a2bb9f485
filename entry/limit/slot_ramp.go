package limit

import "ebonyrouter.dev/core"

const fullPercent = 100

// slotRamp raises the usable slots of a target in steps after it was added, undrained, moved to another address or returned
// to use after an ejection.
type slotRamp struct {
	active   bool
	nextStep core.Instant
	percent  int64
}

// slots returns how many of total slots are usable, at least one.
func (r *slotRamp) slots(total int) int {
	if !r.active {
		return total
	}
	return min(total, max(1, total*int(r.percent)/fullPercent))
}

// start begins a ramp, unless the policy has no interval or step or starts at 100 percent.
func (r *slotRamp) start(now core.Instant, policy core.EffectivePolicy) {
	r.active = policy.RampIntervalMs > 0 && policy.RampStepPercent > 0 && policy.RampStartPercent < fullPercent
	r.nextStep = now.Add(milliseconds(policy.RampIntervalMs))
	r.percent = policy.RampStartPercent
}

// recordSuccess raises the share by one step if the interval has passed.
func (r *slotRamp) recordSuccess(now core.Instant, policy core.EffectivePolicy) {
	if !r.active || now.Before(r.nextStep) {
		return
	}
	r.percent += policy.RampStepPercent
	r.nextStep = now.Add(milliseconds(policy.RampIntervalMs))
	r.active = r.percent < fullPercent
}
