package limit

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// makeNonIdempotent marks a request as non-idempotent.
func makeNonIdempotent(r *core.AdmitRequest) { r.NonIdempotent = true }

// ejectT0 lets requests to target t0 fail until it is ejected, and advances the time by eject_ms.
func ejectT0(t *testing.T, f *fixture, l *Limiter) {
	t.Helper()
	for range 3 {
		g, _ := f.tryAdmit(l, func(r *core.AdmitRequest) { r.Avoid = []string{"t1"} })
		assert.Assert(t, g != nil)
		g.Release(failed)
	}
	f.advance(time.Second)
}

// TestNonIdempotentRequestIsNoProbe guards against a non-idempotent request used to probe a target that accepts requests
// and never responds: its result stayed unknown.
func TestNonIdempotentRequestIsNoProbe(t *testing.T) {
	f, l := newFixture(t, 2, 1, nil)
	ejectT0(t, f, l)
	first, _ := f.tryAdmit(l, makeNonIdempotent)
	assert.Equal(t, first.Target().Target, "t1")
	second, _ := f.tryAdmit(l, makeNonIdempotent)
	assert.Assert(t, second == nil, "a non-idempotent request probes an ejected target")
	probe, _ := f.tryAdmit(l, nil)
	assert.Equal(t, probe.Target().Target, "t0")
	probe.Release(failed)
	f.advance(time.Second)
	next, _ := f.tryAdmit(l, nil)
	assert.Assert(t, next == nil, "a probe follows a failed one before twice eject_ms have passed")
	first.Release(succeeded)
}

// TestNonIdempotentRequestAvoidsLastResort guards against a non-idempotent probe of a target that stays usable as the
// last resort because eject_max_percent does not permit its ejection.
func TestNonIdempotentRequestAvoidsLastResort(t *testing.T) {
	f, l := newFixture(t, 2, 1, func(_ *core.Snapshot, policy *core.EffectivePolicy) { policy.EjectMaxPercent, policy.QueueMax = 34, 0 })
	ejectT0(t, f, l)
	first, _ := f.tryAdmit(l, makeNonIdempotent)
	assert.Equal(t, first.Target().Target, "t1")
	second, _ := f.tryAdmit(l, makeNonIdempotent)
	assert.Equal(t, second.Target().Target, "t0", "the last resort must stay usable")
}

// TestNonIdempotentRequestAvoidsFailedTarget guards against a non-idempotent request at a target whose last request
// failed, once its fault level has expired. A target is ejected after three failures; a non-idempotent request
// must not be one of them while other targets are free.
func TestNonIdempotentRequestAvoidsFailedTarget(t *testing.T) {
	f, l := newFixture(t, 2, 1, func(_ *core.Snapshot, policy *core.EffectivePolicy) { policy.QueueMax = 0 })
	g, _ := f.tryAdmit(l, func(r *core.AdmitRequest) { r.Avoid = []string{"t1"} })
	g.Release(failed)
	for range 4 {
		f.advance(time.Second)
		g, _ = f.tryAdmit(l, makeNonIdempotent)
		assert.Equal(t, g.Target().Target, "t1")
		g.Release(succeeded)
	}
	first, _ := f.tryAdmit(l, makeNonIdempotent)
	second, _ := f.tryAdmit(l, makeNonIdempotent)
	assert.Equal(t, first.Target().Target+second.Target().Target, "t1t0", "the failed target must stay usable")
}

// TestSheddingTargetKeepsRamp guards against full load on a cold target that sheds requests: when its fault level made it the
// last resort, all of its slots became usable.
func TestSheddingTargetKeepsRamp(t *testing.T) {
	f, l := newFixture(t, 1, 10, nil)
	f.setSettings(1, 10, func(s *core.Snapshot, _ *core.EffectivePolicy) { s.Settings.Drains.Targets = []string{"s/t0"} })
	l.tick()
	f.setSettings(1, 10, nil)
	l.tick()
	for range 3 {
		g, _ := f.tryAdmit(l, nil)
		assert.Assert(t, g != nil)
		g.Release(core.Outcome{Shed: true})
	}
	first, _ := f.tryAdmit(l, nil)
	assert.Assert(t, first != nil, "the last resort must stay usable")
	second, _ := f.tryAdmit(l, nil)
	assert.Assert(t, second == nil, "more than 10 percent of ten slots in use")
}

// TestRequestWaitsRatherThanUseLastResort guards against a target that fails fast and, because it always has free slots,
// receives the requests that should wait for healthy targets.
func TestRequestWaitsRatherThanUseLastResort(t *testing.T) {
	f, l := newFixture(t, 2, 1, func(_ *core.Snapshot, policy *core.EffectivePolicy) { policy.EjectMaxPercent = 34 })
	ejectT0(t, f, l)
	probe, _ := f.tryAdmit(l, func(r *core.AdmitRequest) { r.Avoid = []string{"t1"} })
	probe.Release(failed)
	p, _ := l.pool("s")
	admit := func() (*grant, *waiter) {
		g, w, err := p.admit(&core.AdmitRequest{Service: "s"}, f.Now())
		assert.Assert(t, err == nil)
		return g, w
	}
	first, _ := admit()
	assert.Equal(t, first.ref.Target, "t1")
	for range 8 {
		g, _ := admit()
		assert.Assert(t, g == nil, "requests wait until the queue holds queue_max of them")
	}
	last, _ := admit()
	assert.Equal(t, last.ref.Target, "t0", "the last resort must be used instead of a rejection")
	first.Release(succeeded)
	assert.Equal(t, p.targets[1].inFlight, 1, "a waiter gets the free slot of the healthy target")
}

// TestProbesAreSpread guards against probes of all targets that failed together at the same moment: a request that was retried four
// times met failing targets only. Without a healthy target, probes must not wait.
func TestProbesAreSpread(t *testing.T) {
	for name, healthy := range map[string]bool{"one healthy target": true, "no healthy target": false} {
		t.Run(name, func(t *testing.T) {
			f, l := newFixture(t, 4, 2, func(_ *core.Snapshot, policy *core.EffectivePolicy) { policy.EjectMaxPercent, policy.QueueMax = 100, 0 })
			failing := map[string]bool{"t0": true, "t1": true, "t2": true, "t3": !healthy}
			admit := func(avoid ...string) string {
				g, _ := f.tryAdmit(l, func(r *core.AdmitRequest) { r.Avoid = avoid })
				if g == nil {
					return ""
				}
				outcome := succeeded
				if failing[g.Target().Target] {
					outcome = failed
				}
				g.Release(outcome)
				return g.Target().Target
			}
			for target := range failing {
				for range 3 {
					admit(slices.DeleteFunc([]string{"t0", "t1", "t2", "t3"}, func(name string) bool { return name == target })...)
				}
			}
			probes, most, probed := 0, 0, map[string]bool{}
			for range 22 {
				f.advance(50 * time.Millisecond)
				now := 0
				for range 4 {
					if target := admit(); failing[target] {
						now++
						probed[target] = true
					}
				}
				probes, most = probes+now, max(most, now)
			}
			if healthy {
				assert.Equal(t, most, 1, "probes at the same moment")
			} else {
				assert.Equal(t, most, 4)
			}
			f.advance(time.Second)
			for range 40 {
				f.advance(50 * time.Millisecond)
				probed[admit()] = true
			}
			for target := range failing {
				assert.Assert(t, probed[target], "%s is never probed; %d probes", target, probes)
			}
		})
	}
}
