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
	// affectedLimit is the stated target for the time from a fault to the end of the last affected request.
	affectedLimit = 3 * time.Second
	warmUp        = time.Second
)

func faultSpec() fleet.Spec {
	return fleet.Spec{
		HostsPerZone: 2, Regions: []string{"north"}, Zones: 2,
		Services: []fleet.ServiceSpec{{Name: "board", ServiceMs: 5, Slots: 3, Targets: 8}, {Name: "booking", ServiceMs: 5, Slots: 2, Targets: 8}},
	}
}

// Guards against each fault of the brief that stops or delays processes: over-limit use, a key that runs twice, an
// untrue report of not run, and requests that stay affected for longer than the stated time.
func TestFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		inject func(d *fleet.Deployment)
		// keyedMayFail permits rejections of keyed requests for the whole run, because the store is unavailable.
		keyedMayFail bool
		lasts        time.Duration
	}{
		"entry killed": {
			inject: func(d *fleet.Deployment) { d.Hosts[1].Entry.Kill() },
			lasts:  12 * time.Second,
		},
		"entry frozen past its lease": {
			inject: func(d *fleet.Deployment) {
				assert.NilError(d.T, d.Hosts[1].Entry.Signal(syscall.SIGSTOP))
				time.AfterFunc(7*time.Second, func() { _ = d.Hosts[1].Entry.Signal(syscall.SIGCONT) })
			},
			lasts: 16 * time.Second,
		},
		"zone lost": {
			inject: func(d *fleet.Deployment) {
				for _, h := range d.Hosts[:2] {
					h.Entry.Kill()
					h.Steer.Kill()
				}
			},
			lasts: 14 * time.Second,
		},
		"steer killed": {
			inject: func(d *fleet.Deployment) { d.Hosts[0].Steer.Kill() },
			lasts:  6 * time.Second,
		},
		"store away": {
			inject:       func(d *fleet.Deployment) { d.Store.SetFaults(`{"outage":true}`) },
			keyedMayFail: true,
			lasts:        10 * time.Second,
		},
		"store away and entry killed": {
			inject: func(d *fleet.Deployment) {
				d.Store.SetFaults(`{"outage":true}`)
				d.Hosts[1].Entry.Kill()
			},
			keyedMayFail: true,
			lasts:        10 * time.Second,
		},
		"store answers lost": {
			inject: func(d *fleet.Deployment) { d.Store.SetFaults(`{"lost_answers":40}`) },
			lasts:  5 * time.Second,
		},
		"entry killed and store answers lost": {
			inject: func(d *fleet.Deployment) {
				d.Store.SetFaults(`{"lost_answers":200}`)
				d.Hosts[1].Entry.Kill()
			},
			lasts: 12 * time.Second,
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
			time.Sleep(test.lasts)
			read, booked := reads.finish(), bookings.finish()
			assertLimits(d)
			assertTruth(t, d, "booking", booked)
			t.Logf("reads %v, last failure after %v; bookings %v, last failure after %v",
				summary(read), lastFailure(read, injected), summary(booked), lastFailure(booked, injected))
			assert.Assert(t, lastFailure(read, injected) <= affectedLimit, "reads: %v", firstFailures(read))
			if !test.keyedMayFail {
				assert.Assert(t, lastFailure(booked, injected) <= affectedLimit, "bookings: %v", firstFailures(booked))
			}
		})
	}
}

// firstFailures describes some failed results.
func firstFailures(results []result) []string {
	var texts []string
	for _, r := range failures(results) {
		if len(texts) < 5 {
			texts = append(texts, fmt.Sprintf("%s to %s after %d tries: %v %s %s", r.at.Format("05.000"), r.to, r.tries, r.err, r.code, r.text))
		}
	}
	return texts
}
