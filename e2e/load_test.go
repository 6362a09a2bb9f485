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
	// callersPerService is the number of callers of a load. Caller i starts with host i of its list, so that each of the four
	// hosts of most tests receives requests.
	callersPerService = 4
	// callerPause is the time between two requests of a caller.
	callerPause = 5 * time.Millisecond
	// maxAttempts is the maximum number of attempts for a request.
	maxAttempts = 4
)

// result is the final outcome of a request, for which its caller may have made attempts at several entry hosts.
type result struct {
	response // of the last attempt
	// earlier are the responses to the attempts before the last one.
	earlier  []response
	key      string
	attempts int
}

// lostResponse reports whether an earlier attempt was sent but got no response. The request may then have run, whatever the
// response to the last attempt reports.
func (r result) lostResponse() bool {
	return slices.ContainsFunc(r.earlier, func(a response) bool { return a.err != nil && a.sent })
}

// load is a group of callers that send requests to a service until it is stopped. If a request fails or is reported as not
// run, its caller retries it at the next entry host.
type load struct {
	d  *fleet.Deployment
	mu sync.Mutex
	// region is the region whose entry hosts the callers use; empty means those that lookups return.
	region  string
	results []result
	stop    atomic.Bool
	wait    sync.WaitGroup
}

// startLoad starts callers of a service. Keyed callers send each request with a new idempotency key.
func startLoad(d *fleet.Deployment, service string, keyed bool) *load {
	return startRegionLoad(d, service, keyed, "")
}

// startRegionLoad starts callers of a service that use only the entry hosts of one region.
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

// call sends requests as caller i until the load is stopped.
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
		for r.attempts < maxAttempts {
			if r.attempts > 0 {
				r.earlier = append(r.earlier, r.response)
			}
			r.response = c.send(hosts[(i+r.attempts)%len(hosts)], r.key)
			r.attempts++
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

// hosts returns the addresses of the entry hosts for caller i and the time until which they are valid. These are the
// hosts of l.region if it is set; otherwise the hosts that a lookup returns, followed by all others as a fallback.
func (l *load) hosts(c *caller, i int) ([]string, time.Time) {
	var addresses []string
	expires := time.Now()
	if l.region != "" {
		for _, h := range l.d.Hosts {
			if h.Region == l.region {
				addresses = append(addresses, h.CallerAddress)
			}
		}
		return addresses, expires.Add(time.Minute)
	}
	for n := range l.d.Hosts {
		found, err := c.lookup(l.d.Hosts[(i+n)%len(l.d.Hosts)].CallerAddress)
		if err != nil {
			continue
		}
		for _, h := range found.Hosts {
			addresses = append(addresses, h.Address)
		}
		expires = expires.Add(time.Duration(found.ValidMs) * time.Millisecond)
		break
	}
	for _, h := range l.d.Hosts {
		if !slices.Contains(addresses, h.CallerAddress) {
			addresses = append(addresses, h.CallerAddress)
		}
	}
	return addresses, expires
}

// failures returns the results other than complete responses of an upstream.
func failures(results []result) []result {
	var failed []result
	for _, r := range results {
		if !r.ok() {
			failed = append(failed, r)
		}
	}
	return failed
}

// lastFailure returns the time from since to the end of the last failed request, or 0 if none failed.
func lastFailure(results []result, since time.Time) time.Duration {
	last := time.Duration(0)
	for _, r := range failures(results) {
		last = max(last, r.startedAt.Add(r.elapsed).Sub(since))
	}
	return last
}

// summary counts the results with an error as connection errors and all others by their result code and ran state.
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

// assertLimits fails the test if a target served more requests at once than it has slots, or if a key ran twice.
func assertLimits(d *fleet.Deployment) {
	d.T.Helper()
	for _, service := range d.Spec.Services {
		runs := map[string]int64{}
		for _, e := range d.Evidence(service.Name) {
			assert.Equal(d.T, e.OverSlots, int64(0), "target %s of service %s with %d slots served %d requests at once",
				e.Address, service.Name, e.Slots, e.HighConcurrent)
			for key, n := range e.Runs {
				runs[key] += n
			}
		}
		for key, n := range runs {
			assert.Assert(d.T, n <= 1, "key %s ran %d times", key, n)
		}
	}
}

// assertReportedRuns fails the test if the upstreams ran a keyed request although its caller was told that it did not run, or
// the reverse. It only logs a run that an earlier attempt with a lost response may have caused.
func assertReportedRuns(t *testing.T, d *fleet.Deployment, service string, results []result) {
	t.Helper()
	runs := d.Runs(service)
	for _, r := range results {
		switch {
		case r.key == "" || r.err != nil:
		case r.ran == core.RanNo && r.lostResponse():
			if runs[r.key] > 0 {
				t.Logf("key %s ran in an attempt whose response was lost; the last attempt was reported as not run: %+v %+v",
					r.key, r.earlier, r.response)
			}
		case r.ran == core.RanNo:
			assert.Equal(t, runs[r.key], int64(0), "key %s was reported as not run: %+v %+v", r.key, r.earlier, r.response)
		case r.ran == core.RanYes:
			assert.Equal(t, runs[r.key], int64(1), "key %s was reported as run: %+v", r.key, r.response)
		}
	}
}
