package e2e_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

// Guards against owners that eject more than eject_max_percent of their targets when most of the targets fail fast at once,
// and against requests that are then neither served nor correctly reported as rejected.
func TestEjectionCeiling(t *testing.T) {
	t.Parallel()
	ejectMs := int64(500)
	d := deploy(t, fleet.Spec{
		HostsPerZone: 1, Regions: []string{"north"}, Zones: 2, Policy: core.Policy{EjectMs: &ejectMs},
		Services: []fleet.ServiceSpec{{Name: "board", ServiceMs: 5, Slots: 3, Targets: 8}},
	})
	loads := []*load{startLoad(d, "board", true)}
	for range 3 {
		loads = append(loads, startLoad(d, "board", false))
	}
	time.Sleep(warmUp)
	injected := time.Now()
	failing := map[string]int{}
	for i, address := range d.Targets["board"] {
		// Three of the four targets of each owner fail; the ceiling is two.
		owner := d.Owner("north", "board", i).Name
		if failing[owner]++; failing[owner] <= 3 {
			d.SetBehaviour("board", address, `{"fail":true}`)
		}
	}
	maxUnused := map[string]float64{}
	for time.Since(injected) < affectedLimit+time.Second {
		for _, h := range d.Hosts {
			counts := map[string]float64{}
			for _, state := range []string{"", "_ejected", "_last_resort"} {
				n, err := fleet.Metric(h.EntryAdmin, "ebony_targets"+state)
				assert.NilError(t, err)
				counts[state] = n
			}
			unused := counts["_ejected"] - counts["_last_resort"]
			maxUnused[h.Name] = max(maxUnused[h.Name], unused)
			assert.Check(t, 2*unused <= counts[""], "host %s leaves %v of %v targets unused", h.Name, unused, counts[""])
		}
		time.Sleep(50 * time.Millisecond)
	}
	bookings, reads := loads[0].finish(), []result{}
	for _, l := range loads[1:] {
		reads = append(reads, l.finish()...)
	}
	assertLimits(d)
	assertReportedRuns(t, d, "board", bookings)
	t.Logf("most unused targets per host %v; reads %v, last failure after %v; bookings %v, last failure after %v",
		maxUnused, summary(reads), lastFailure(reads, injected), summary(bookings), lastFailure(bookings, injected))
	for _, h := range d.Hosts {
		assert.Check(t, maxUnused[h.Name] == 2, "the ceiling was not reached at host %s", h.Name)
	}
	assert.Check(t, lastFailure(reads, injected) <= affectedLimit, "reads: %v", lastFailures(reads))
	assert.Check(t, lastFailure(bookings, injected) <= affectedLimit, "bookings: %v", lastFailures(bookings))
}

// Guards against using more than the ramped share of a target's slots when the target returns after an ejection, after a
// drain or after its removal from the settings. The load fills all slots.
func TestTargetRampsAfterReturn(t *testing.T) {
	t.Parallel()
	const (
		interval = 300 * time.Millisecond
		loads    = 8
		slots    = 5
	)
	intervalMs, ejectMs, percent := interval.Milliseconds(), int64(500), int64(100/slots)
	d := deploy(t, fleet.Spec{
		HostsPerZone: 1, Regions: []string{"north"}, Zones: 2,
		Policy:   core.Policy{EjectMs: &ejectMs, RampIntervalMs: &intervalMs, RampStartPercent: &percent, RampStepPercent: &percent},
		Services: []fleet.ServiceSpec{{Name: "board", ServiceMs: 20, Slots: slots, Targets: 4}},
	})
	target := d.Targets["board"][0]
	complete := d.Settings
	var running []*load
	for range loads {
		running = append(running, startLoad(d, "board", false))
	}
	applyEdited := func(edit func(settings *core.Settings, targets map[string]core.TargetSettings)) func() {
		return func() {
			settings, service := complete, complete.Services["board"]
			service.Targets = maps.Clone(service.Targets)
			edit(&settings, service.Targets)
			settings.Services = map[string]core.ServiceSettings{"board": service}
			d.Apply(settings)
		}
	}
	for name, test := range map[string]struct {
		remove, restore func()
		// probed is set if the ramp starts when the first request, a probe, succeeds.
		probed bool
	}{
		"ejected": {remove: func() { d.SetBehaviour("board", target, `{"fail":true}`) }, restore: func() {}, probed: true},
		"drained": {remove: applyEdited(func(settings *core.Settings, _ map[string]core.TargetSettings) {
			settings.Drains.Targets = []string{"board/board-00"}
		}), restore: func() { d.Apply(complete) }},
		"removed": {remove: applyEdited(func(_ *core.Settings, targets map[string]core.TargetSettings) {
			delete(targets, "board-00")
		}), restore: func() { d.Apply(complete) }},
	} {
		t.Run(name, func(t *testing.T) {
			test.remove()
			time.Sleep(time.Second)
			d.SetBehaviour("board", target, `{}`)
			test.restore()
			var reached []int64
			fleet.Eventually(t, 15*time.Second, func() error {
				if reached = d.Evidence("board")[0].ReachedUs; len(reached) < slots {
					return fmt.Errorf("slots first in use at %v µs", reached)
				}
				return nil
			})
			t.Logf("slots first in use at %v µs", reached)
			rampStart := int64(0)
			if test.probed {
				rampStart = reached[0]
			}
			for n, us := range reached {
				assert.Check(t, us-rampStart >= int64(n)*interval.Microseconds(), "%d slots in use after %d µs", n+1, us-rampStart)
			}
		})
	}
	for _, l := range running {
		l.finish()
	}
	assertLimits(d)
}
