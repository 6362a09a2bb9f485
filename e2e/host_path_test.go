package e2e_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

const (
	// faultDuration is the duration of network faults. It is longer than the lease (3 s), and longer than the wait before a
	// takeover (3.1 s plus the deadline of 2 s).
	faultDuration = 7 * time.Second
	// recoveryTime is the time for which the load continues after the paths have recovered.
	recoveryTime = 4 * time.Second
)

// revisionWatcher polls the revision of the settings in force at all processes until it is stopped.
type revisionWatcher struct {
	d *fleet.Deployment
	// last holds the last revision of each process by its administration address.
	last map[string]float64
	// reverted describes each change to a lower revision.
	reverted []string
	stop     chan struct{}
	wait     sync.WaitGroup
}

// watchRevisions starts to poll the revisions of a deployment.
func watchRevisions(d *fleet.Deployment) *revisionWatcher {
	r := &revisionWatcher{d: d, last: map[string]float64{}, stop: make(chan struct{})}
	r.wait.Go(func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(100 * time.Millisecond):
				r.poll()
			}
		}
	})
	return r
}

// poll reads the revision of each process and skips the processes that do not respond.
func (r *revisionWatcher) poll() {
	for _, h := range r.d.Hosts {
		for _, address := range []string{h.EntryAdmin, h.SteerAdmin} {
			n, err := fleet.Metric(address, "ebony_revision")
			if err != nil {
				continue
			}
			if n < r.last[address] {
				r.reverted = append(r.reverted, fmt.Sprintf("host %s, process at %s: revision %v after revision %v",
					h.Name, address, n, r.last[address]))
			}
			r.last[address] = n
		}
	}
}

// assertReached stops polling and fails the test if a process has reverted to a lower revision or has a last revision other
// than the given one.
func (r *revisionWatcher) assertReached(revision int64) {
	r.d.T.Helper()
	close(r.stop)
	r.wait.Wait()
	r.poll()
	assert.Equal(r.d.T, len(r.reverted), 0, "%v", r.reverted)
	for address, n := range r.last {
		assert.Equal(r.d.T, int64(n), revision, "revision of the process at %s", address)
	}
}

// between returns the results of requests that started at from or later, and before to.
func between(results []result, from, to time.Time) []result {
	var found []result
	for _, r := range results {
		if !r.startedAt.Before(from) && r.startedAt.Before(to) {
			found = append(found, r)
		}
	}
	return found
}

// assertRecovery fails the test if a request fails later than affectedLimit after the fault or after the recovery, or if
// a caller received an incomplete or wrong response.
func assertRecovery(t *testing.T, label string, results []result, injected, recovered time.Time) {
	t.Helper()
	during, after := between(results, injected.Add(-time.Minute), recovered), between(results, recovered, recovered.Add(time.Minute))
	t.Logf("%s: %v, last failure %v and last request over 1 s %v after the fault; recovered: %v, last failure %v after the recovery",
		label, summary(during), lastFailure(during, injected), lastSlow(during, injected), summary(after), lastFailure(after, recovered))
	for _, r := range results {
		assert.Assert(t, !errors.Is(r.err, errMismatch), "%+v", r.response)
	}
	assert.Check(t, lastFailure(during, injected) <= affectedLimit, "%s: %v", label, lastFailures(during))
	assert.Check(t, lastFailure(after, recovered) <= affectedLimit, "%s after the recovery: %v", label, lastFailures(after))
}

// lastSlow returns the time from since to the end of the last request that took longer than 1 s, the default of
// try_timeout_ms. It returns 0 if there is none.
func lastSlow(results []result, since time.Time) time.Duration {
	last := time.Duration(0)
	for _, r := range results {
		if r.elapsed > time.Second {
			last = max(last, r.startedAt.Add(r.elapsed).Sub(since))
		}
	}
	return last
}

// lastFailures describes the last five failed results.
func lastFailures(results []result) []string {
	failed := failures(results)
	return firstFailures(failed[max(0, len(failed)-5):])
}

// Guards against the consequences of network faults between running hosts, or between them and the store, that last longer than
// a lease: targets over their slots, a key that runs twice, a request that is reported as not run although it ran, a mixed or
// incomplete response, settings that revert, and requests that are affected for longer than affectedLimit after the fault and
// after its end.
func TestHostPaths(t *testing.T) {
	t.Parallel()
	blackhole := fleet.Path{Blackhole: true}
	tests := map[string]struct {
		inject func(d *fleet.Deployment)
		// keyedMayFail permits rejections of keyed requests until the fault ends, because the store is unavailable.
		keyedMayFail bool
		// removed is the index of the host that must own nothing when the fault ends; 0 means none.
		removed int
	}{
		"one pair silent": {inject: func(d *fleet.Deployment) { d.Network.SetPaths(d.Hosts[0].Name, d.Hosts[3].Name, blackhole) }},
		"one pair cut": {inject: func(d *fleet.Deployment) {
			d.Network.SetPaths(d.Hosts[0].Name, d.Hosts[1].Name, fleet.Path{Reset: true})
		}},
		"one host isolated": {inject: func(d *fleet.Deployment) { d.SetHostPaths(d.Hosts[1], blackhole) }, removed: 1},
		"one direction silent": {inject: func(d *fleet.Deployment) {
			for _, other := range d.Hosts {
				if other != d.Hosts[1] {
					d.Network.SetPath(d.Hosts[1].Name, other.Name, blackhole)
				}
			}
		}, removed: 1},
		"open connections to the store silent for good": {inject: func(d *fleet.Deployment) {
			for _, h := range d.Hosts {
				d.Network.MakeUnresponsive(h.Name, fleet.StoreName)
			}
		}},
		"open connections between hosts silent for good": {inject: func(d *fleet.Deployment) {
			for _, a := range d.Hosts {
				for _, b := range d.Hosts {
					d.Network.MakeUnresponsive(a.Name, b.Name)
				}
			}
		}},
		"one host isolated and store away": {
			inject: func(d *fleet.Deployment) {
				d.Store.SetFaults(`{"outage":true}`)
				d.SetHostPaths(d.Hosts[1], blackhole)
			},
			keyedMayFail: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := faultSpec()
			s.Network, s.BodyBytes = true, 40<<10
			d := deploy(t, s)
			revisions := watchRevisions(d)
			reads, bookings := startLoad(d, "board", false), startLoad(d, "booking", true)
			time.Sleep(warmUp)
			injected := time.Now()
			test.inject(d)
			revision := int64(1)
			if !test.keyedMayFail {
				revision = d.ApplyDeadline(1900)
			}
			time.Sleep(faultDuration)
			if test.removed > 0 {
				assert.Equal(t, d.OwnedInStore(d.Hosts[test.removed]), 0, "an unreachable host still owns objects")
			}
			recovered := time.Now()
			d.Store.SetFaults(`{}`)
			d.SetHostPaths(d.Hosts[1], fleet.Path{})
			d.Network.SetPaths(d.Hosts[0].Name, d.Hosts[3].Name, fleet.Path{})
			time.Sleep(recoveryTime)
			readResults, bookingResults := reads.finish(), bookings.finish()
			assertLimits(d)
			assertReportedRuns(t, d, "booking", bookingResults)
			assertRecovery(t, "reads", readResults, injected, recovered)
			if test.keyedMayFail {
				t.Logf("bookings until the end of the fault: %v", summary(between(bookingResults, injected.Add(-time.Minute), recovered)))
				bookingResults = between(bookingResults, recovered, recovered.Add(time.Minute))
			}
			assertRecovery(t, "bookings", bookingResults, injected, recovered)
			revisions.assertReached(revision)
		})
	}
}
