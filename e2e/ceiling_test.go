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

// Guards against owners that eject more than eject_max_percent of their targets when most of them fail fast at once, and
// against requests that are neither served nor truthfully rejected then.
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
		// Three of the four targets of each owner fail; the ceiling is at two.
		owner := d.Owner("north", "board", i).Name
		if failing[owner]++; failing[owner] <= 3 {
			d.Order("board", address, `{"fail":true}`)
		}
	}
	high := map[string]float64{}
	for time.Since(injected) < affectedLimit+time.Second {
		for _, h := range d.Hosts {
			counts := map[string]float64{}
			for _, state := range []string{"", "_ejected", "_last_resort"} {
				n, err := fleet.Gauge(h.EntryAdmin, "ebony_targets"+state)
				assert.NilError(t, err)
				counts[state] = n
			}
			unused := counts["_ejected"] - counts["_last_resort"]
			high[h.Name] = max(high[h.Name], unused)
			assert.Check(t, 2*unused <= counts[""], "host %s does not use %v of %v targets", h.Name, unused, counts[""])
		}
		time.Sleep(50 * time.Millisecond)
	}
	booked, read := loads[0].finish(), []result{}
	for _, l := range loads[1:] {
		read = append(read, l.finish()...)
	}
	assertLimits(d)
	assertTruth(t, d, "board", booked)
	t.Logf("most ejected %v; reads %v, last failure after %v; bookings %v, last failure after %v",
		high, summary(read), lastFailure(read, injected), summary(booked), lastFailure(booked, injected))
	for _, h := range d.Hosts {
		assert.Check(t, high[h.Name] == 2, "the ceiling was not reached at host %s", h.Name)
	}
	assert.Check(t, lastFailure(read, injected) <= affectedLimit, "reads: %v", lastFailures(read))
	assert.Check(t, lastFailure(booked, injected) <= affectedLimit, "bookings: %v", lastFailures(booked))
}

// Guards against more than the ramped share of the slots at a target that comes back after an ejection, after a drain or
// to the settings, under a load that fills all slots.
func TestTargetComesBack(t *testing.T) {
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
	whole := d.Settings
	var running []*load
	for range loads {
		running = append(running, startLoad(d, "board", false))
	}
	without := func(edit func(tree *core.Settings, targets map[string]core.TargetSettings)) func() {
		return func() {
			tree, service := whole, whole.Services["board"]
			service.Targets = maps.Clone(service.Targets)
			edit(&tree, service.Targets)
			tree.Services = map[string]core.ServiceSettings{"board": service}
			d.Apply(tree)
		}
	}
	for name, test := range map[string]struct {
		leave, back func()
		// probed means that the ramp begins with the success of the first request.
		probed bool
	}{
		"ejected": {leave: func() { d.Order("board", target, `{"fail":true}`) }, back: func() {}, probed: true},
		"drained": {leave: without(func(tree *core.Settings, _ map[string]core.TargetSettings) {
			tree.Drains.Targets = []string{"board/board-00"}
		}), back: func() { d.Apply(whole) }},
		"removed": {leave: without(func(_ *core.Settings, targets map[string]core.TargetSettings) {
			delete(targets, "board-00")
		}), back: func() { d.Apply(whole) }},
	} {
		t.Run(name, func(t *testing.T) {
			test.leave()
			time.Sleep(time.Second)
			d.Order("board", target, `{}`)
			test.back()
			var reached []int64
			fleet.Eventually(t, 15*time.Second, func() error {
				if reached = d.Evidence("board")[0].ReachedUs; len(reached) < slots {
					return fmt.Errorf("slots in use first at %v µs", reached)
				}
				return nil
			})
			t.Logf("slots in use first at %v µs", reached)
			begun := int64(0)
			if test.probed {
				begun = reached[0]
			}
			for n, at := range reached {
				assert.Check(t, at-begun >= int64(n)*interval.Microseconds(), "%d slots in use after %d µs", n+1, at-begun)
			}
		})
	}
	for _, l := range running {
		l.finish()
	}
	assertLimits(d)
}
