package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

const (
	// upstreamDrainLimit is the stated bound for the time from accepting a drain to the last new request at the target.
	upstreamDrainLimit = 3 * time.Second
	// hostStopLimit is drain_grace_ms of the built-in settings.
	hostStopLimit = 10 * time.Second
)

// Guards against a planned stop that cuts requests: every host is replaced under load without one failed request.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	d := deploy(t, faultSpec())
	reads, bookings := startLoad(d, "board", false), startLoad(d, "booking", true)
	time.Sleep(warmUp)
	for _, h := range d.Hosts {
		took := h.Entry.Stop(hostStopLimit)
		h.Steer.Stop(hostStopLimit)
		t.Logf("%s stopped in %v", h.Name, took)
		d.StartHost(h)
		d.AwaitOwners()
	}
	read, booked := reads.finish(), bookings.finish()
	assertLimits(d)
	assertTruth(t, d, "booking", booked)
	t.Logf("reads %v, bookings %v", summary(read), summary(booked))
	assert.Equal(t, len(failures(read)), 0, "%v", firstFailures(read))
	assert.Equal(t, len(failures(booked)), 0, "%v", firstFailures(booked))
}

// Guards against a process that cannot take part again when the other process of its host goes on running.
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
			took := fleet.Eventually(t, fleet.ReadyTimeout, func() error { return fleet.Get("http://"+h.EntryAdmin+"/readyz", nil) })
			d.AwaitOwners()
			t.Logf("entry process ready after %v", took)
			assert.Assert(t, took <= affectedLimit, "ready after %v", took)
		})
	}
}

// Guards against new work at an upstream that is leaving, and against requests cut by the drain.
func TestUpstreamDrain(t *testing.T) {
	t.Parallel()
	d := deploy(t, faultSpec())
	reads := startLoad(d, "board", false)
	time.Sleep(warmUp)
	tree := d.Settings
	tree.Drains.Targets = []string{"board/board-00"}
	d.Apply(tree)
	accepted := time.Now()
	requests, last := d.Requests("board", 0), accepted
	for time.Since(accepted) < 2*upstreamDrainLimit {
		time.Sleep(10 * time.Millisecond)
		if now := d.Requests("board", 0); now != requests {
			requests, last = now, time.Now()
		}
	}
	read := reads.finish()
	t.Logf("last new request %v after the change was accepted", last.Sub(accepted))
	assert.Assert(t, last.Sub(accepted) <= upstreamDrainLimit)
	assert.Equal(t, len(failures(read)), 0, "%v", firstFailures(read))
	assertLimits(d)
}

// Guards against settings that revert: a host restarts during an outage of the store and must not fall back, and an
// accepted revision must be in force everywhere within the stated 2 s.
func TestSettingsInForceAndNeverRevert(t *testing.T) {
	t.Parallel()
	const inForceLimit = 2 * time.Second
	d := deploy(t, faultSpec())
	tree := d.Settings
	deadline := int64(1500)
	tree.Policy.DeadlineMs = &deadline
	revision := d.Apply(tree)
	took := fleet.Eventually(t, fleet.ReadyTimeout, func() error { return d.InForce(revision) })
	t.Logf("revision %d in force everywhere after %v", revision, took)
	assert.Assert(t, took <= inForceLimit, "in force after %v", took)
	d.Store.SetFaults(`{"outage":true}`)
	h := d.Hosts[2]
	h.Entry.Kill()
	h.Steer.Kill()
	d.StartHost(h)
	fleet.Eventually(t, fleet.ReadyTimeout, func() error { return fleet.Get("http://"+h.EntryAdmin+"/readyz", nil) })
	// The link over which the first host asks the restarted one may take a moment; a lower revision is a fault at once.
	fleet.Eventually(t, inForceLimit, func() error {
		status, err := d.Status(d.Hosts[0])
		if err != nil {
			return err
		}
		for _, s := range status.Hosts {
			assert.Assert(t, s.Entry.Revision == 0 || s.Entry.Revision >= revision, "entry of %s has revision %d", s.Host, s.Entry.Revision)
			assert.Assert(t, s.SteerRevision == 0 || s.SteerRevision >= revision, "steer of %s has revision %d", s.Host, s.SteerRevision)
		}
		return d.InForce(revision)
	})
}
