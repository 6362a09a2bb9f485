package e2e_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

const (
	// affectedLimit is the specified limit for the time from a fault to the end of the last request that it affects.
	affectedLimit = 3 * time.Second
	// warmUp is the time for which load runs before a fault or a change.
	warmUp = time.Second
)

// faultSpec describes one region with two zones of two hosts, and a service each for reads and for keyed requests.
func faultSpec() fleet.Spec {
	return fleet.Spec{
		HostsPerZone: 2, Regions: []string{"north"}, Zones: 2,
		Services: []fleet.ServiceSpec{{Name: "board", ServiceMs: 5, Slots: 3, Targets: 8}, {Name: "booking", ServiceMs: 5, Slots: 2, Targets: 8}},
	}
}

// Guards against the consequences of killed or frozen processes and of faults of the store: targets over their slots, a key
// that runs twice, a request that is reported as not run although it ran, and requests that are affected for longer than
// affectedLimit.
func TestFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		inject func(d *fleet.Deployment)
		// keyedMayFail permits rejections of keyed requests at any time, because the store is unavailable.
		keyedMayFail bool
		duration     time.Duration
	}{
		"entry killed": {
			inject:   func(d *fleet.Deployment) { d.Hosts[1].Entry.Kill() },
			duration: 12 * time.Second,
		},
		"entry frozen past its lease": {
			inject: func(d *fleet.Deployment) {
				assert.NilError(d.T, d.Hosts[1].Entry.Signal(syscall.SIGSTOP))
				time.AfterFunc(7*time.Second, func() { _ = d.Hosts[1].Entry.Signal(syscall.SIGCONT) })
			},
			duration: 16 * time.Second,
		},
		"zone lost": {
			inject: func(d *fleet.Deployment) {
				for _, h := range d.Hosts[:2] {
					h.Entry.Kill()
					h.Steer.Kill()
				}
			},
			duration: 14 * time.Second,
		},
		"steer killed": {
			inject:   func(d *fleet.Deployment) { d.Hosts[0].Steer.Kill() },
			duration: 6 * time.Second,
		},
		"store away": {
			inject:       func(d *fleet.Deployment) { d.Store.SetFaults(`{"outage":true}`) },
			keyedMayFail: true,
			duration:     10 * time.Second,
		},
		"store away and entry killed": {
			inject: func(d *fleet.Deployment) {
				d.Store.SetFaults(`{"outage":true}`)
				d.Hosts[1].Entry.Kill()
			},
			keyedMayFail: true,
			duration:     10 * time.Second,
		},
		"store answers lost": {
			inject:   func(d *fleet.Deployment) { d.Store.SetFaults(`{"lost_answers":40}`) },
			duration: 5 * time.Second,
		},
		"entry killed and store answers lost": {
			inject: func(d *fleet.Deployment) {
				d.Store.SetFaults(`{"lost_answers":200}`)
				d.Hosts[1].Entry.Kill()
			},
			duration: 12 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, faultSpec())
			reads, bookings := startLoad(d, "board", false), startLoad(d, "booking", true)
			time.Sleep(warmUp)
			injected := time.Now()
			test.inject(d)
			time.Sleep(test.duration)
			readResults, bookingResults := reads.finish(), bookings.finish()
			assertLimits(d)
			assertReportedRuns(t, d, "booking", bookingResults)
			t.Logf("reads %v, last failure after %v; bookings %v, last failure after %v",
				summary(readResults), lastFailure(readResults, injected), summary(bookingResults), lastFailure(bookingResults, injected))
			assert.Assert(t, lastFailure(readResults, injected) <= affectedLimit, "reads: %v", firstFailures(readResults))
			if !test.keyedMayFail {
				assert.Assert(t, lastFailure(bookingResults, injected) <= affectedLimit, "bookings: %v", firstFailures(bookingResults))
			}
		})
	}
}

// firstFailures describes the first five failed results.
func firstFailures(results []result) []string {
	var texts []string
	for _, r := range failures(results) {
		if len(texts) < 5 {
			texts = append(texts, fmt.Sprintf("%s to %s after %d attempts: %v %s %s",
				r.startedAt.Format("05.000"), r.address, r.attempts, r.err, r.code, r.text))
		}
	}
	return texts
}
