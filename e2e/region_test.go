package e2e_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

const shiftCap = 60

func regionSpec() fleet.Spec {
	interval, start, step := int64(500), int64(50), int64(50)
	return fleet.Spec{
		HostsPerZone: 1, Regions: []string{"north", "south"}, Zones: 2, ShiftRPS: shiftCap,
		Policy:   core.Policy{RampIntervalMs: &interval, RampStartPercent: &start, RampStepPercent: &step},
		Services: []fleet.ServiceSpec{{Name: "board", ServiceMs: 20, Slots: 3, Targets: 8}},
	}
}

// sample is a count of requests that was read at some moment between two times.
type sample struct {
	after, before time.Time
	count         int64
}

// sampler reads a growing count, such as that of the requests that a region receives, until it is stopped.
type sampler struct {
	samples []sample
	stop    chan struct{}
	wait    sync.WaitGroup
}

// sampleRuns reads the number of requests that the targets of a region received until it is stopped.
func sampleRuns(d *fleet.Deployment, service, region string) *sampler {
	return sampleCount(func() int64 { return d.RunsIn(service, region) })
}

// sampleCount reads a growing count until it is stopped.
func sampleCount(read func() int64) *sampler {
	s := &sampler{stop: make(chan struct{})}
	s.wait.Go(func() {
		for {
			after := time.Now()
			count := read()
			s.samples = append(s.samples, sample{after: after, before: time.Now(), count: count})
			select {
			case <-s.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return s
}

// highest stops the sampler and returns the highest growth in any period of the given length.
func (s *sampler) highest(period time.Duration) int64 {
	close(s.stop)
	s.wait.Wait()
	highest := int64(0)
	for i, first := range s.samples {
		for _, last := range s.samples[i:] {
			if last.before.Sub(first.after) <= period {
				highest = max(highest, last.count-first.count)
			}
		}
	}
	return highest
}

// Guards against a shift above its cap and against an overloaded region: callers offer one region more than its slots
// serve; the rest is shifted up to the cap, and the other region's own callers go on.
func TestSpillStaysBelowCap(t *testing.T) {
	t.Parallel()
	d := deploy(t, regionSpec())
	rate := sampleRuns(d, "board", "south")
	flood := startFlood(d, "board", d.Hosts[0].Caller, 60)
	time.Sleep(6 * time.Second)
	highest := rate.highest(time.Second)
	shifted := d.RunsIn("board", "south")
	own := startFlood(d, "board", d.Hosts[3].Caller, callersPerService)
	time.Sleep(4 * time.Second)
	owned, flooded := own.finish(), flood.finish()
	assertLimits(d)
	t.Logf("flood %v; south ran %d requests of it, at most %d in a second; own callers of south %v",
		summary(flooded), shifted, highest, summary(owned))
	// The cap holds where requests are admitted; on the way to the targets they may move together by up to 100 ms.
	assert.Assert(t, highest <= shiftCap+shiftCap/10, "%d requests in a second", highest)
	assert.Assert(t, shifted > 2*shiftCap, "only %d requests were shifted", shifted)
	assert.Equal(t, len(failures(owned)), 0, "%v", firstFailures(owned))
}

// Guards against callers that stay affected after the loss of a region, and against a move above the cap.
func TestRegionLost(t *testing.T) {
	t.Parallel()
	d := deploy(t, regionSpec())
	callers := startLoad(d, "board", false)
	time.Sleep(warmUp)
	lost := time.Now()
	for _, h := range d.Hosts[:2] {
		h.Entry.Kill()
		h.Steer.Kill()
	}
	for address := range d.RegionTargets("board", "north") {
		d.Order("board", address, `{"hang":true}`)
	}
	time.Sleep(8 * time.Second)
	results := callers.finish()
	assertLimits(d)
	t.Logf("%v, last failure after %v", summary(results), lastFailure(results, lost))
	assert.Assert(t, lastFailure(results, lost) <= affectedLimit, "%v", firstFailures(results))
}

// startFlood sends requests of many callers to one entry host.
func startFlood(d *fleet.Deployment, service, address string, callers int) *load {
	l := &load{d: d}
	d.T.Cleanup(func() { l.finish() })
	for range callers {
		l.wait.Go(func() {
			c := newCaller(service)
			for !l.stop.Load() {
				r := result{answer: c.send(address, ""), tries: 1}
				l.mu.Lock()
				l.results = append(l.results, r)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// Guards against a deliberate move of a share that is ignored, cuts requests, exceeds its cap or does not end.
func TestShareMovesAwayAndBack(t *testing.T) {
	t.Parallel()
	d := deploy(t, regionSpec())
	rate := sampleRuns(d, "board", "south")
	callers := startFlood(d, "board", d.Hosts[0].Caller, callersPerService)
	time.Sleep(warmUp)
	home := d.Settings
	away := home
	away.Shifts = slices.Clone(home.Shifts)
	for i := range away.Shifts {
		if away.Shifts[i].From == "north" {
			away.Shifts[i].Percent = 30
		}
	}
	d.Apply(away)
	time.Sleep(5 * time.Second)
	moved := d.RunsIn("board", "south")
	d.Apply(home)
	time.Sleep(upstreamDrainLimit)
	settled := d.RunsIn("board", "south")
	time.Sleep(time.Second)
	results := callers.finish()
	highest := rate.highest(time.Second)
	assertLimits(d)
	t.Logf("%v; %d requests moved, at most %d in a second", summary(results), moved, highest)
	assert.Equal(t, len(failures(results)), 0, "%v", firstFailures(results))
	assert.Assert(t, moved > shiftCap, "only %d requests moved", moved)
	assert.Assert(t, highest <= shiftCap+shiftCap/10, "%d requests in a second", highest)
	assert.Equal(t, d.RunsIn("board", "south"), settled, "requests move %v after the share was taken back", upstreamDrainLimit)
}
