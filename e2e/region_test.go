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

// shiftCap is the cap of each shift in requests per second.
const shiftCap = 60

// regionSpec describes two regions with two zones of one host, shifts in both directions and fast ramps.
func regionSpec() fleet.Spec {
	interval, start, step := int64(500), int64(50), int64(50)
	return fleet.Spec{
		HostsPerZone: 1, Regions: []string{"north", "south"}, Zones: 2, ShiftRPS: shiftCap,
		Policy:   core.Policy{RampIntervalMs: &interval, RampStartPercent: &start, RampStepPercent: &step},
		Services: []fleet.ServiceSpec{{Name: "board", ServiceMs: 20, Slots: 3, Targets: 8}},
	}
}

// sample is a count that was read at some time between after and before.
type sample struct {
	after, before time.Time
	count         int64
}

// sampler reads an increasing count at intervals until it is stopped.
type sampler struct {
	samples []sample
	stop    chan struct{}
	wait    sync.WaitGroup
}

// sampleRuns starts to sample the number of requests that the targets of a service in a region have received.
func sampleRuns(d *fleet.Deployment, service, region string) *sampler {
	return sampleCount(func() int64 { return d.RegionRequests(service, region) })
}

// sampleCount starts to sample an increasing count every 20 ms.
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

// stopAndMax stops the sampler and returns the largest increase of the count in any period of the given length.
func (s *sampler) stopAndMax(period time.Duration) int64 {
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

// Guards against a shift that exceeds its cap and so overloads the other region. Callers send more requests to one region
// than its slots can serve. The excess is shifted up to the cap, and the other region still serves its own callers.
func TestSpillStaysBelowCap(t *testing.T) {
	t.Parallel()
	d := deploy(t, regionSpec())
	rate := sampleRuns(d, "board", "south")
	northLoad := startFlood(d, "board", d.Hosts[0].CallerAddress, 60)
	time.Sleep(6 * time.Second)
	highest := rate.stopAndMax(time.Second)
	shifted := d.RegionRequests("board", "south")
	southLoad := startFlood(d, "board", d.Hosts[3].CallerAddress, callersPerService)
	time.Sleep(4 * time.Second)
	southResults, northResults := southLoad.finish(), northLoad.finish()
	assertLimits(d)
	t.Logf("callers of north %v, %d requests shifted to south, at most %d in a second; callers of south %v",
		summary(northResults), shifted, highest, summary(southResults))
	// The cap holds where requests are admitted. On the way to the targets they may get up to 100 ms closer together.
	assert.Assert(t, highest <= shiftCap+shiftCap/10, "%d requests in a second", highest)
	assert.Assert(t, shifted > 2*shiftCap, "only %d requests were shifted", shifted)
	assert.Equal(t, len(failures(southResults)), 0, "%v", firstFailures(southResults))
}

// Guards against callers that are affected for too long after the failure of a region, and against broken slot limits. All
// processes of the region are killed, and its targets accept requests but do not respond.
func TestRegionLost(t *testing.T) {
	t.Parallel()
	d := deploy(t, regionSpec())
	callers := startLoad(d, "board", false)
	time.Sleep(warmUp)
	failed := time.Now()
	for _, h := range d.Hosts[:2] {
		h.Entry.Kill()
		h.Steer.Kill()
	}
	for address := range d.RegionTargets("board", "north") {
		d.SetBehaviour("board", address, `{"hang":true}`)
	}
	time.Sleep(8 * time.Second)
	results := callers.finish()
	assertLimits(d)
	t.Logf("%v, last failure after %v", summary(results), lastFailure(results, failed))
	assert.Assert(t, lastFailure(results, failed) <= affectedLimit, "%v", firstFailures(results))
}

// startFlood starts callers that send requests to one entry host without pauses and without retries.
func startFlood(d *fleet.Deployment, service, address string, callers int) *load {
	l := &load{d: d}
	d.T.Cleanup(func() { l.finish() })
	for range callers {
		l.wait.Go(func() {
			c := newCaller(service)
			for !l.stop.Load() {
				r := result{response: c.send(address, ""), attempts: 1}
				l.mu.Lock()
				l.results = append(l.results, r)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// Guards against a configured shift percentage that is ignored, fails requests, exceeds the cap of the shift, or stays in
// force after it is removed.
func TestShiftPercentage(t *testing.T) {
	t.Parallel()
	d := deploy(t, regionSpec())
	rate := sampleRuns(d, "board", "south")
	callers := startFlood(d, "board", d.Hosts[0].CallerAddress, callersPerService)
	time.Sleep(warmUp)
	unshifted := d.Settings
	shiftedSettings := unshifted
	shiftedSettings.Shifts = slices.Clone(unshifted.Shifts)
	for i := range shiftedSettings.Shifts {
		if shiftedSettings.Shifts[i].From == "north" {
			shiftedSettings.Shifts[i].Percent = 30
		}
	}
	d.Apply(shiftedSettings)
	time.Sleep(5 * time.Second)
	shifted := d.RegionRequests("board", "south")
	d.Apply(unshifted)
	time.Sleep(upstreamDrainLimit)
	settled := d.RegionRequests("board", "south")
	time.Sleep(time.Second)
	results := callers.finish()
	highest := rate.stopAndMax(time.Second)
	assertLimits(d)
	t.Logf("%v; %d requests shifted, at most %d in a second", summary(results), shifted, highest)
	assert.Equal(t, len(failures(results)), 0, "%v", firstFailures(results))
	assert.Assert(t, shifted > shiftCap, "only %d requests were shifted", shifted)
	assert.Assert(t, highest <= shiftCap+shiftCap/10, "%d requests in a second", highest)
	assert.Equal(t, d.RegionRequests("board", "south"), settled, "requests are still shifted %v after the percentage was removed",
		upstreamDrainLimit)
}
