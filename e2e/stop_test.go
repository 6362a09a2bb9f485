package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

const (
	// upstreamDrainLimit is the specified limit for the time from accepting a drain to the last new request at the target.
	upstreamDrainLimit = 3 * time.Second
	// hostStopLimit is the default of drain_grace_ms.
	hostStopLimit = 10 * time.Second
)

// Guards against a planned stop that fails requests: every host is restarted under load, and no request may fail.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	d := deploy(t, faultSpec())
	reads, bookings := startLoad(d, "board", false), startLoad(d, "booking", true)
	time.Sleep(warmUp)
	for _, h := range d.Hosts {
		elapsed := h.Entry.Stop(hostStopLimit)
		h.Steer.Stop(hostStopLimit)
		t.Logf("%s stopped in %v", h.Name, elapsed)
		d.StartHost(h)
		d.AwaitOwners()
	}
	readResults, bookingResults := reads.finish(), bookings.finish()
	assertLimits(d)
	assertReportedRuns(t, d, "booking", bookingResults)
	t.Logf("reads %v, bookings %v", summary(readResults), summary(bookingResults))
	assert.Equal(t, len(failures(readResults)), 0, "%v", firstFailures(readResults))
	assert.Equal(t, len(failures(bookingResults)), 0, "%v", firstFailures(bookingResults))
}

// Guards against a process that does not become ready after a restart while the other process of its host keeps running.
func TestProcessReplacedAlone(t *testing.T) {
	t.Parallel()
	tests := map[string]func(d *fleet.Deployment, h *fleet.Host){
		"entry": func(d *fleet.Deployment, h *fleet.Host) {
			h.Entry.Stop(hostStopLimit)
			d.StartEntry(h)
		},
		"entry killed": func(d *fleet.Deployment, h *fleet.Host) {
			h.Entry.Kill()
			d.StartEntry(h)
		},
		"steer": func(d *fleet.Deployment, h *fleet.Host) {
			h.Steer.Stop(hostStopLimit)
			d.StartSteer(h)
		},
	}
	for name, replace := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, faultSpec())
			h := d.Hosts[1]
			replace(d, h)
			elapsed := fleet.Eventually(t, fleet.ReadyTimeout, func() error { return fleet.Get("http://"+h.EntryAdmin+"/readyz", nil) })
			d.AwaitOwners()
			t.Logf("entry process ready after %v", elapsed)
			assert.Assert(t, elapsed <= affectedLimit, "ready after %v", elapsed)
		})
	}
}

// Guards against new requests to a draining upstream target, and against requests that fail because of the drain.
func TestUpstreamDrain(t *testing.T) {
	t.Parallel()
	d := deploy(t, faultSpec())
	reads := startLoad(d, "board", false)
	time.Sleep(warmUp)
	settings := d.Settings
	settings.Drains.Targets = []string{"board/board-00"}
	d.Apply(settings)
	accepted := time.Now()
	requests, lastRequest := d.Requests("board", 0), accepted
	for time.Since(accepted) < 2*upstreamDrainLimit {
		time.Sleep(10 * time.Millisecond)
		if now := d.Requests("board", 0); now != requests {
			requests, lastRequest = now, time.Now()
		}
	}
	readResults := reads.finish()
	t.Logf("last new request %v after the change was accepted", lastRequest.Sub(accepted))
	assert.Assert(t, lastRequest.Sub(accepted) <= upstreamDrainLimit)
	assert.Equal(t, len(failures(readResults)), 0, "%v", firstFailures(readResults))
	assertLimits(d)
}

// Guards against settings that revert or arrive late. An accepted revision must be in force everywhere within the specified
// 2 s, and a host that restarts during an outage of the store must not use an older revision.
func TestSettingsInForceAndNeverRevert(t *testing.T) {
	t.Parallel()
	const inForceLimit = 2 * time.Second
	d := deploy(t, faultSpec())
	settings := d.Settings
	deadline := int64(1500)
	settings.Policy.DeadlineMs = &deadline
	revision := d.Apply(settings)
	elapsed := fleet.Eventually(t, fleet.ReadyTimeout, func() error { return d.CheckStatusRevision(revision) })
	t.Logf("revision %d in force everywhere after %v", revision, elapsed)
	assert.Assert(t, elapsed <= inForceLimit, "settings in force only after %v", elapsed)
	d.Store.SetFaults(`{"outage":true}`)
	h := d.Hosts[2]
	h.Entry.Kill()
	h.Steer.Kill()
	d.StartHost(h)
	fleet.Eventually(t, fleet.ReadyTimeout, func() error { return fleet.Get("http://"+h.EntryAdmin+"/readyz", nil) })
	// The first host may need a moment to connect to the restarted one, but a lower revision fails the test immediately.
	fleet.Eventually(t, inForceLimit, func() error {
		status, err := d.Status(d.Hosts[0])
		if err != nil {
			return err
		}
		for _, s := range status.Hosts {
			assert.Assert(t, s.Entry.Revision == 0 || s.Entry.Revision >= revision, "entry of %s has revision %d", s.Host, s.Entry.Revision)
			assert.Assert(t, s.SteerRevision == 0 || s.SteerRevision >= revision, "steer of %s has revision %d", s.Host, s.SteerRevision)
		}
		return d.CheckStatusRevision(revision)
	})
}
