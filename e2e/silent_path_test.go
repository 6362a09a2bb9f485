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
	// silentFor is longer than the lease (3 s) and the wait of a takeover (3.1 s and the deadline of 2 s).
	silentFor = 7 * time.Second
	// healedFor is the time for which a run goes on after its paths are healed.
	healedFor = 4 * time.Second
)

// revisions polls the settings in force of all processes until it is stopped.
type revisions struct {
	d        *fleet.Deployment
	last     map[string]float64
	reverted []string
	stop     chan struct{}
	wait     sync.WaitGroup
}

func watchRevisions(d *fleet.Deployment) *revisions {
	r := &revisions{d: d, last: map[string]float64{}, stop: make(chan struct{})}
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

func (r *revisions) poll() {
	for _, h := range r.d.Hosts {
		for _, address := range []string{h.EntryAdmin, h.SteerAdmin} {
			n, err := fleet.Gauge(address, "ebony_revision")
			if err != nil {
				continue
			}
			if n < r.last[address] {
				r.reverted = append(r.reverted, fmt.Sprintf("%s at %s: %v after %v", h.Name, address, n, r.last[address]))
			}
			r.last[address] = n
		}
	}
}

// assertForward stops the poll and fails the test if a process went back or has not reached a revision.
func (r *revisions) assertForward(revision int64) {
	r.d.T.Helper()
	close(r.stop)
	r.wait.Wait()
	r.poll()
	assert.Equal(r.d.T, len(r.reverted), 0, "%v", r.reverted)
	for address, n := range r.last {
		assert.Equal(r.d.T, int64(n), revision, "process at %s", address)
	}
}

// between returns the results of requests that started in a period.
func between(results []result, from, to time.Time) []result {
	var found []result
	for _, r := range results {
		if !r.at.Before(from) && r.at.Before(to) {
			found = append(found, r)
		}
	}
	return found
}

// assertAffected checks that no request failed for longer than the stated time after the fault and after its end.
func assertAffected(t *testing.T, what string, results []result, injected, healed time.Time) {
	t.Helper()
	during, after := between(results, injected.Add(-time.Minute), healed), between(results, healed, healed.Add(time.Minute))
	t.Logf("%s: %v, last failure %v and last over 1 s %v after the fault; healed: %v, last failure %v after that",
		what, summary(during), lastFailure(during, injected), lastSlow(during, injected), summary(after), lastFailure(after, healed))
	for _, r := range results {
		assert.Assert(t, !errors.Is(r.err, errMismatch), "%+v", r.answer)
	}
	assert.Check(t, lastFailure(during, injected) <= affectedLimit, "%s: %v", what, lastFailures(during))
	assert.Check(t, lastFailure(after, healed) <= affectedLimit, "%s after the heal: %v", what, lastFailures(after))
}

// lastSlow returns the time from a moment to the end of the last request that took longer than try_timeout_ms, or 0.
func lastSlow(results []result, since time.Time) time.Duration {
	last := time.Duration(0)
	for _, r := range results {
		if r.took > time.Second {
			last = max(last, r.at.Add(r.took).Sub(since))
		}
	}
	return last
}

// lastFailures describes the last failed results.
func lastFailures(results []result) []string {
	failed := failures(results)
	return firstFailures(failed[max(0, len(failed)-5):])
}

// Guards against each fault by which hosts that stay alive lose each other for longer than a lease: over-limit use, a key
// that runs twice, an untrue report of not run, a mixed or cut response, settings that revert, and requests that stay
// affected for longer than the stated time after the fault and after its end.
func TestSilentPaths(t *testing.T) {
	t.Parallel()
	silent := fleet.Path{Silent: true}
	tests := map[string]struct {
		inject func(d *fleet.Deployment)
		// keyedMayFail permits rejections of keyed requests for the whole run, because the store is unavailable.
		keyedMayFail bool
		// removed is the host that must own nothing when the fault ends.
		removed int
	}{
		"one pair silent":   {inject: func(d *fleet.Deployment) { d.Network.Set(d.Hosts[0].Name, d.Hosts[3].Name, silent) }},
		"one pair cut":      {inject: func(d *fleet.Deployment) { d.Network.Set(d.Hosts[0].Name, d.Hosts[1].Name, fleet.Path{Cut: true}) }},
		"one host isolated": {inject: func(d *fleet.Deployment) { d.Isolate(d.Hosts[1], silent) }, removed: 1},
		"one direction silent": {inject: func(d *fleet.Deployment) {
			for _, other := range d.Hosts {
				if other != d.Hosts[1] {
					d.Network.SetOne(d.Hosts[1].Name, other.Name, silent)
				}
			}
		}, removed: 1},
		"open connections to the store silent for good": {inject: func(d *fleet.Deployment) {
			for _, h := range d.Hosts {
				d.Network.Lose(h.Name, fleet.StoreName)
			}
		}},
		"open connections between hosts silent for good": {inject: func(d *fleet.Deployment) {
			for _, a := range d.Hosts {
				for _, b := range d.Hosts {
					d.Network.Lose(a.Name, b.Name)
				}
			}
		}},
		"one host isolated and store away": {
			inject: func(d *fleet.Deployment) {
				d.Store.SetFaults(`{"outage":true}`)
				d.Isolate(d.Hosts[1], silent)
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
			forward := watchRevisions(d)
			reads, bookings := startLoad(d, "board", false), startLoad(d, "booking", true)
			time.Sleep(warmUp)
			injected := time.Now()
			test.inject(d)
			revision := int64(1)
			if !test.keyedMayFail {
				revision = d.ApplyDeadline(1900)
			}
			time.Sleep(silentFor)
			if test.removed > 0 {
				assert.Equal(t, d.OwnedInStore(d.Hosts[test.removed]), 0, "objects of a host that cannot be reached")
			}
			healed := time.Now()
			d.Store.SetFaults(`{}`)
			d.Isolate(d.Hosts[1], fleet.Path{})
			d.Network.Set(d.Hosts[0].Name, d.Hosts[3].Name, fleet.Path{})
			time.Sleep(healedFor)
			read, booked := reads.finish(), bookings.finish()
			assertLimits(d)
			assertTruth(t, d, "booking", booked)
			assertAffected(t, "reads", read, injected, healed)
			if test.keyedMayFail {
				t.Logf("bookings until the end of the fault: %v", summary(between(booked, injected.Add(-time.Minute), healed)))
				booked = between(booked, healed, healed.Add(time.Minute))
			}
			assertAffected(t, "bookings", booked, injected, healed)
			forward.assertForward(revision)
		})
	}
}
