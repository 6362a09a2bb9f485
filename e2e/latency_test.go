package e2e_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

const pulotMbit = 72

// pulotSpec has the regions, zones, hosts and services of pulot; its links have less than a hundredth of the bandwidth, so
// that a test can fill the part of one shift.
func pulotSpec() fleet.Spec {
	interval, start, step := int64(500), int64(50), int64(50)
	return fleet.Spec{
		BodyBytes: 40 << 10, HostsPerZone: 2, Latency: true, Mbit: pulotMbit, Network: true, ShiftRPS: shiftCap, Zones: 2,
		Policy:  core.Policy{RampIntervalMs: &interval, RampStartPercent: &start, RampStepPercent: &step},
		Regions: []string{"luzon", "visayas", "mindanao"},
		Services: []fleet.ServiceSpec{
			{Name: "statusboard", ServiceMs: 20, Slots: 9, Targets: 12},
			{Name: "bookings", ServiceMs: 20, Slots: 4, Targets: 12},
			{Name: "apiary-records", ServiceMs: 20, Slots: 9, Targets: 14},
		},
	}
}

// Guards against limits that hold without latency only: at the latencies of one user, with varying delay and stalls, a
// share of the traffic moves to another region and back while that region has its own callers. The cap of the shift,
// the slots and the bandwidth hold, and every caller gets the whole response to its own request.
func TestMoveWithLatency(t *testing.T) {
	t.Parallel()
	// The responses of the requests that the cap lets pass would take 60*40 KiB/s, which is 20 Mbit/s; the shift has
	// 12 Mbit/s, a sixth of the link, because the shifts of three services in two directions share it.
	const callers, moveFor = 16, 6 * time.Second
	s := pulotSpec()
	d := deploy(t, s)
	luzon, visayas := d.Hosts[0].Caller, d.Hosts[4].Caller
	forward := watchRevisions(d)
	rate := sampleRuns(d, "statusboard", "visayas")
	flood := startFlood(d, "statusboard", luzon, callers)
	booked := startLoad(d, "bookings", true)
	time.Sleep(warmUp)
	link := sampleCount(func() int64 { return d.Passed("visayas", "luzon") })
	before, started := d.Passed("visayas", "luzon"), time.Now()
	home := d.Settings
	away := home
	away.Shifts = slices.Clone(home.Shifts)
	for i := range away.Shifts {
		if away.Shifts[i].From == "luzon" && away.Shifts[i].To == "visayas" && away.Shifts[i].Service == "statusboard" {
			away.Shifts[i].Percent = 30
		}
	}
	d.Apply(away)
	time.Sleep(moveFor)
	moved, highest := d.RunsIn("statusboard", "visayas"), rate.highest(time.Second)
	own := startFlood(d, "statusboard", visayas, callersPerService)
	time.Sleep(time.Second)
	sum, took := d.Passed("visayas", "luzon")-before, time.Since(started)
	revision := d.Apply(home)
	time.Sleep(upstreamDrainLimit)
	owned, flooded, bookings := own.finish(), flood.finish(), booked.finish()
	second := link.highest(time.Second)
	assertLimits(d)
	assertTruth(t, d, "bookings", bookings)
	t.Logf("%v, own callers of visayas %v, bookings %v; %d requests moved, at most %d in a second; %.2f Mbit/s, at most %.2f in a second",
		summary(flooded), summary(owned), summary(bookings), moved, highest, float64(sum)*8e-6/took.Seconds(), float64(second)*8e-6)
	for _, r := range slices.Concat(flooded, owned, bookings) {
		assert.Assert(t, !errors.Is(r.err, errMismatch), "%+v", r.answer)
	}
	assert.Equal(t, len(failures(flooded)), 0, "%v", firstFailures(flooded))
	assert.Equal(t, len(failures(owned)), 0, "%v", firstFailures(owned))
	assert.Equal(t, len(failures(bookings)), 0, "%v", firstFailures(bookings))
	assert.Assert(t, moved > shiftCap, "only %d requests moved", moved)
	// As in TestSpillStaysBelowCap, requests may move together by up to 100 ms on the way.
	assert.Assert(t, highest <= shiftCap+shiftCap/10, "%d requests in a second", highest)
	// A burst of 64 KiB, and what is buffered of the response that each caller waits for, come on top.
	extra := int64(64<<10 + callers*(s.BodyBytes+1<<10))
	perSecond := int64(pulotMbit * 1e6 / 8 / 6)
	assert.Assert(t, second <= perSecond+extra, "%d bytes in a second", second)
	assert.Assert(t, float64(sum) <= float64(perSecond)*took.Seconds()+float64(extra), "%d bytes in %v", sum, took)
	forward.assertForward(revision)
}
