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

// pulotMbit is the bandwidth of each link in pulotSpec in Mbit/s.
const pulotMbit = 72

// pulotSpec has the regions, zones, hosts and services of the deployment pulot. Its links have less than a hundredth of the
// bandwidth, so that a test can fill the share of a single shift.
func pulotSpec() fleet.Spec {
	interval, start, step := int64(500), int64(50), int64(50)
	return fleet.Spec{
		BodyBytes: 40 << 10, HostsPerZone: 2, Latency: true, LinkMbit: pulotMbit, Network: true, ShiftRPS: shiftCap, Zones: 2,
		Policy:  core.Policy{RampIntervalMs: &interval, RampStartPercent: &start, RampStepPercent: &step},
		Regions: []string{"luzon", "visayas", "mindanao"},
		Services: []fleet.ServiceSpec{
			{Name: "statusboard", ServiceMs: 20, Slots: 9, Targets: 12},
			{Name: "bookings", ServiceMs: 20, Slots: 4, Targets: 12},
			{Name: "apiary-records", ServiceMs: 20, Slots: 9, Targets: 14},
		},
	}
}

// Guards against limits of a shift that hold only without latency. At the latencies of the deployment pulot, with jitter and
// stalls, a share of the traffic is shifted to another region and back while that region serves its own callers. The cap of
// the shift, the slots and the bandwidth must hold, and every caller must receive the complete response to its own request.
func TestShiftWithLatency(t *testing.T) {
	t.Parallel()
	// The responses to the requests that the cap permits would need 60*40 KiB/s, which is 20 Mbit/s. The shift has 12 Mbit/s,
	// a sixth of the link, because the shifts of three services in two directions share the link.
	const callers, shiftDuration = 16, 6 * time.Second
	s := pulotSpec()
	d := deploy(t, s)
	luzon, visayas := d.Hosts[0].CallerAddress, d.Hosts[4].CallerAddress
	revisions := watchRevisions(d)
	rate := sampleRuns(d, "statusboard", "visayas")
	luzonLoad := startFlood(d, "statusboard", luzon, callers)
	bookingLoad := startLoad(d, "bookings", true)
	time.Sleep(warmUp)
	linkBytes := sampleCount(func() int64 { return d.BytesForwarded("visayas", "luzon") })
	bytesBefore, started := d.BytesForwarded("visayas", "luzon"), time.Now()
	unshifted := d.Settings
	shiftedSettings := unshifted
	shiftedSettings.Shifts = slices.Clone(unshifted.Shifts)
	for i := range shiftedSettings.Shifts {
		if shiftedSettings.Shifts[i].From == "luzon" && shiftedSettings.Shifts[i].To == "visayas" && shiftedSettings.Shifts[i].Service == "statusboard" {
			shiftedSettings.Shifts[i].Percent = 30
		}
	}
	d.Apply(shiftedSettings)
	time.Sleep(shiftDuration)
	shiftedRequests, maxPerSecond := d.RegionRequests("statusboard", "visayas"), rate.stopAndMax(time.Second)
	visayasLoad := startFlood(d, "statusboard", visayas, callersPerService)
	time.Sleep(time.Second)
	sentBytes, elapsed := d.BytesForwarded("visayas", "luzon")-bytesBefore, time.Since(started)
	revision := d.Apply(unshifted)
	time.Sleep(upstreamDrainLimit)
	visayasResults, luzonResults, bookingResults := visayasLoad.finish(), luzonLoad.finish(), bookingLoad.finish()
	maxBytesPerSecond := linkBytes.stopAndMax(time.Second)
	assertLimits(d)
	assertReportedRuns(t, d, "bookings", bookingResults)
	t.Logf("luzon %v, visayas %v, bookings %v; %d requests shifted, at most %d in a second; %.2f Mbit/s, at most %.2f in a second",
		summary(luzonResults), summary(visayasResults), summary(bookingResults), shiftedRequests, maxPerSecond,
		float64(sentBytes)*8e-6/elapsed.Seconds(), float64(maxBytesPerSecond)*8e-6)
	for _, r := range slices.Concat(luzonResults, visayasResults, bookingResults) {
		assert.Assert(t, !errors.Is(r.err, errMismatch), "%+v", r.response)
	}
	assert.Equal(t, len(failures(luzonResults)), 0, "%v", firstFailures(luzonResults))
	assert.Equal(t, len(failures(visayasResults)), 0, "%v", firstFailures(visayasResults))
	assert.Equal(t, len(failures(bookingResults)), 0, "%v", firstFailures(bookingResults))
	assert.Assert(t, shiftedRequests > shiftCap, "only %d requests were shifted", shiftedRequests)
	// As in TestSpillStaysBelowCap, requests may get up to 100 ms closer together on the way to the targets.
	assert.Assert(t, maxPerSecond <= shiftCap+shiftCap/10, "%d requests in a second", maxPerSecond)
	// The allowance covers a burst of 64 KiB and the buffered part of the response for which each caller waits.
	allowance := int64(64<<10 + callers*(s.BodyBytes+1<<10))
	perSecond := int64(pulotMbit * 1e6 / 8 / 6)
	assert.Assert(t, maxBytesPerSecond <= perSecond+allowance, "%d bytes in a second", maxBytesPerSecond)
	assert.Assert(t, float64(sentBytes) <= float64(perSecond)*elapsed.Seconds()+float64(allowance), "%d bytes in %v", sentBytes, elapsed)
	revisions.assertReached(revision)
}
