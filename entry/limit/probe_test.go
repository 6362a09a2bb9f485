package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// booking makes a request non-idempotent.
func booking(r *core.AdmitRequest) { r.NonIdempotent = true }

// ejectFirst lets t0 fail until it is ejected and waits for eject_ms.
func ejectFirst(t *testing.T, f *fakeWorld, l *Limiter) {
	t.Helper()
	for range 3 {
		g, _ := f.try(l, func(r *core.AdmitRequest) { r.Avoid = []string{"t1"} })
		assert.Assert(t, g != nil)
		g.Release(failed)
	}
	f.step(time.Second)
}

// Guards against a booking that is used to probe a target which accepts and never answers: it ended as unknown.
func TestNonIdempotentRequestIsNoProbe(t *testing.T) {
	f, l := newWorld(t, 2, 1, nil)
	ejectFirst(t, f, l)
	first, _ := f.try(l, booking)
	assert.Equal(t, first.Target().Target, "t1")
	second, _ := f.try(l, booking)
	assert.Assert(t, second == nil, "a booking probes an ejected target")
	probe, _ := f.try(l, nil)
	assert.Equal(t, probe.Target().Target, "t0")
	probe.Release(failed)
	f.step(time.Second)
	again, _ := f.try(l, nil)
	assert.Assert(t, again == nil, "a failed probe is repeated before twice eject_ms have passed")
	first.Release(answered)
}

// Guards against the same probe at a target above the ejection ceiling, which stays usable as the last resort.
func TestNonIdempotentRequestAvoidsLastResort(t *testing.T) {
	f, l := newWorld(t, 2, 1, func(_ *core.Snapshot, policy *core.EffectivePolicy) { policy.EjectMaxPercent, policy.QueueMax = 34, 0 })
	ejectFirst(t, f, l)
	first, _ := f.try(l, booking)
	assert.Equal(t, first.Target().Target, "t1")
	second, _ := f.try(l, booking)
	assert.Equal(t, second.Target().Target, "t0", "the last resort must stay usable")
}

// Guards against a booking at a target that failed its newest request, each time that the memory of the failure ends: it
// takes three failures until the target is ejected, and a booking must not be one of them while others are free.
func TestNonIdempotentRequestAvoidsFailedTarget(t *testing.T) {
	f, l := newWorld(t, 2, 1, func(_ *core.Snapshot, policy *core.EffectivePolicy) { policy.QueueMax = 0 })
	g, _ := f.try(l, func(r *core.AdmitRequest) { r.Avoid = []string{"t1"} })
	g.Release(failed)
	for range 4 {
		f.step(time.Second)
		g, _ = f.try(l, booking)
		assert.Equal(t, g.Target().Target, "t1")
		g.Release(answered)
	}
	first, _ := f.try(l, booking)
	second, _ := f.try(l, booking)
	assert.Equal(t, first.Target().Target+second.Target().Target, "t1t0", "the failed target must stay usable")
}

// Guards against full load on a cold target that sheds: its level of faults made all its slots usable as the last resort.
func TestSheddingTargetKeepsRamp(t *testing.T) {
	f, l := newWorld(t, 1, 10, nil)
	f.change(1, 10, func(s *core.Snapshot, _ *core.EffectivePolicy) { s.Settings.Drains.Targets = []string{"s/t0"} })
	l.tick()
	f.change(1, 10, nil)
	l.tick()
	for range 3 {
		g, _ := f.try(l, nil)
		assert.Assert(t, g != nil)
		g.Release(core.Outcome{Shed: true})
	}
	first, _ := f.try(l, nil)
	assert.Assert(t, first != nil, "the last resort must stay usable")
	second, _ := f.try(l, nil)
	assert.Assert(t, second == nil, "more than 10 percent of ten slots in use")
}

// Guards against a target that fails fast and takes what would have to wait for others, because it always has free slots.
func TestRequestWaitsRatherThanUseLastResort(t *testing.T) {
	f, l := newWorld(t, 2, 1, func(_ *core.Snapshot, policy *core.EffectivePolicy) { policy.EjectMaxPercent = 34 })
	ejectFirst(t, f, l)
	probe, _ := f.try(l, func(r *core.AdmitRequest) { r.Avoid = []string{"t1"} })
	probe.Release(failed)
	p, _ := l.pool("s")
	admit := func() (*grant, *waiter) {
		g, w, err := p.enter(&core.AdmitRequest{Service: "s"}, f.Now())
		assert.Assert(t, err == nil)
		return g, w
	}
	first, _ := admit()
	assert.Equal(t, first.ref.Target, "t1")
	for range 8 {
		g, _ := admit()
		assert.Assert(t, g == nil, "queue_max requests wait")
	}
	last, _ := admit()
	assert.Equal(t, last.ref.Target, "t0", "the last resort must be used instead of a rejection")
	first.Release(answered)
	assert.Equal(t, p.targets[1].inFlight, 1, "a waiter gets the slot of the target in good standing")
}
