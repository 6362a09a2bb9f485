package limit

import "ebonyrouter.dev/core"

const fullPercent = 100

// slotRamp raises the usable slots of a target that is new or returns from ejection.
type slotRamp struct {
	active  bool
	next    core.Instant
	percent int64
}

// slots returns how many of all slots are usable, at least one.
func (r *slotRamp) slots(all int) int {
	if !r.active {
		return all
	}
	return min(all, max(1, all*int(r.percent)/fullPercent))
}

// start begins a ramp; a policy without interval or step has no ramp.
func (r *slotRamp) start(now core.Instant, policy core.EffectivePolicy) {
	r.active = policy.RampIntervalMs > 0 && policy.RampStepPercent > 0 && policy.RampStartPercent < fullPercent
	r.next = now.Add(milliseconds(policy.RampIntervalMs))
	r.percent = policy.RampStartPercent
}

// success raises the share by one step when the interval has passed.
func (r *slotRamp) success(now core.Instant, policy core.EffectivePolicy) {
	if !r.active || now.Before(r.next) {
		return
	}
	r.percent += policy.RampStepPercent
	r.next = now.Add(milliseconds(policy.RampIntervalMs))
	r.active = r.percent < fullPercent
}
