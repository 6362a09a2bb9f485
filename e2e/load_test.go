package e2e_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

const (
	// Each caller begins with another host of its list, so that each of the four hosts of most tests gets requests.
	callersPerService = 4
	callerPause       = 5 * time.Millisecond
	callerTries       = 4
)

// result is the end of one request as its caller saw it, after trying further entry hosts.
type result struct {
	answer
	// earlier are the answers of the tries before the last one.
	earlier []answer
	key     string
	tries   int
}

// unanswered reports whether an earlier try that was sent to a host got no answer, so that it may have run whatever the
// last one is told.
func (r result) unanswered() bool {
	return slices.ContainsFunc(r.earlier, func(a answer) bool { return a.err != nil && a.sent })
}

// load sends requests to a service until it is stopped; each caller moves to the next entry host when one fails.
type load struct {
	d  *fleet.Deployment
	mu sync.Mutex
	// region limits the hosts that callers use to those of a region; an empty one stands for all.
	region  string
	results []result
	stop    atomic.Bool
	wait    sync.WaitGroup
}

// startLoad starts callers of a service; keyed ones send non-idempotent requests with a new key each.
func startLoad(d *fleet.Deployment, service string, keyed bool) *load {
	return startRegionLoad(d, service, keyed, "")
}

// startRegionLoad starts callers of a service who use the hosts of one region only.
func startRegionLoad(d *fleet.Deployment, service string, keyed bool, region string) *load {
	l := &load{d: d, region: region}
	d.T.Cleanup(func() { l.finish() })
	for i := range callersPerService {
		l.wait.Go(func() { l.call(i, service, keyed) })
	}
	return l
}

// finish stops the callers and returns all results.
func (l *load) finish() []result {
	l.stop.Store(true)
	l.wait.Wait()
	return l.results
}

func (l *load) call(i int, service string, keyed bool) {
	c := newCaller(service)
	hosts, expires := l.hosts(c, i)
	for n := 0; !l.stop.Load(); n++ {
		if time.Now().After(expires) {
			hosts, expires = l.hosts(c, i)
		}
		r := result{}
		if keyed {
			r.key = fmt.Sprintf("%s-%s-%d-%d", l.d.T.Name(), l.region, i, n)
		}
		for r.tries < callerTries {
			if r.tries > 0 {
				r.earlier = append(r.earlier, r.answer)
			}
			r.answer = c.send(hosts[(i+r.tries)%len(hosts)], r.key)
			r.tries++
			if r.ok() || r.err == nil && r.ran != core.RanNo {
				break
			}
			hosts, expires = l.hosts(c, i)
		}
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// hosts asks any entry host that answers which ones to use, and until when.
func (l *load) hosts(c *caller, i int) ([]string, time.Time) {
	var all []string
	expires := time.Now()
	if l.region != "" {
		for _, h := range l.d.Hosts {
			if h.Region == l.region {
				all = append(all, h.Caller)
			}
		}
		return all, expires.Add(time.Minute)
	}
	for n := range l.d.Hosts {
		found, err := c.lookup(l.d.Hosts[(i+n)%len(l.d.Hosts)].Caller)
		if err != nil {
			continue
		}
		for _, h := range found.Hosts {
			all = append(all, h.Address)
		}
		expires = expires.Add(time.Duration(found.ValidMs) * time.Millisecond)
		break
	}
	for _, h := range l.d.Hosts {
		if !slices.Contains(all, h.Caller) {
			all = append(all, h.Caller)
		}
	}
	return all, expires
}

// failures returns the results that are not whole responses of an upstream.
func failures(results []result) []result {
	var failed []result
	for _, r := range results {
		if !r.ok() {
			failed = append(failed, r)
		}
	}
	return failed
}

// lastFailure returns the time from a moment to the end of the last failed request, or 0.
func lastFailure(results []result, since time.Time) time.Duration {
	last := time.Duration(0)
	for _, r := range failures(results) {
		last = max(last, r.at.Add(r.took).Sub(since))
	}
	return last
}

// summary counts results by what callers were told.
func summary(results []result) map[string]int {
	counts := map[string]int{}
	for _, r := range results {
		switch {
		case r.err != nil:
			counts["connection error"]++
		default:
			counts[fmt.Sprintf("code %s ran %s", r.code, r.ran)]++
		}
	}
	return counts
}

// assertLimits fails the test if a target was over its slots or a key ran twice.
func assertLimits(d *fleet.Deployment) {
	d.T.Helper()
	for _, service := range d.Spec.Services {
		runs := map[string]int64{}
		for _, e := range d.Evidence(service.Name) {
			assert.Equal(d.T, e.OverSlots, int64(0), "target %s of %s was over its %d slots: %d", e.Address, service.Name, e.Slots, e.HighConcurrent)
			for key, n := range e.Runs {
				runs[key] += n
			}
		}
		for key, n := range runs {
			assert.Assert(d.T, n <= 1, "key %s ran %d times", key, n)
		}
	}
}

// assertTruth checks what keyed callers were told against what the upstreams ran.
func assertTruth(t *testing.T, d *fleet.Deployment, service string, results []result) {
	t.Helper()
	runs := d.Runs(service)
	for _, r := range results {
		switch {
		case r.key == "" || r.err != nil:
		case r.ran == core.RanNo && r.unanswered():
			if runs[r.key] > 0 {
				t.Logf("key %s ran in a try that got no answer; the last one was told not run: %+v %+v", r.key, r.earlier, r.answer)
			}
		case r.ran == core.RanNo:
			assert.Equal(t, runs[r.key], int64(0), "key %s was reported as not run: %+v %+v", r.key, r.earlier, r.answer)
		case r.ran == core.RanYes:
			assert.Equal(t, runs[r.key], int64(1), "key %s was reported as run: %+v", r.key, r.answer)
		}
	}
}
