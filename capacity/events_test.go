package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"ebonyrouter.dev/fleet"
)

const (
	// eventTime is the span that is looked at after an event.
	eventTime  = 6 * time.Second
	outageTime = 4 * time.Second
	// partedTime is longer than the lease term and the revocation together.
	partedTime  = 6 * time.Second
	changes     = 4
	sampleEvery = 200 * time.Millisecond
	window      = 5
)

// BenchmarkEvents measures calls at the store during events, and the time until a settings change is in force.
func BenchmarkEvents(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newIdle(b, n)
			last := f.Hosts[n-1]
			zone := f.in(last.Zone)
			time.Sleep(settleTime)
			f.event("quiet", func() {})
			f.event("restart", func() {
				last.Entry.Kill()
				last.Steer.Kill()
				f.StartHost(last)
			})
			f.event("reconnect", func() {
				f.Store.SetFaults(`{"outage":true}`)
				time.Sleep(outageTime)
				f.Store.SetFaults(`{"outage":false}`)
			})
			f.event("parted", func() {
				// A frozen region cannot reach the store, which a parted region can.
				signal(f.in("r1-z0"), syscall.SIGSTOP)
				signal(zone, syscall.SIGSTOP)
				time.Sleep(partedTime)
				signal(f.in("r1-z0"), syscall.SIGCONT)
				signal(zone, syscall.SIGCONT)
			})
			f.measureChanges(n)
			f.event("zone_lost", func() {
				for _, h := range zone {
					h.Entry.Kill()
					h.Steer.Kill()
				}
			})
		})
	}
}

// event runs what happens and reports the calls from its start until eventTime after its end, and the highest number in
// a second, of all calls and of writes.
func (f *idle) event(name string, happen func()) {
	f.b.Helper()
	stop := make(chan struct{})
	var all, writes []int64
	var group sync.WaitGroup
	group.Go(func() {
		for {
			kinds, sum := f.Store.Calls()
			all = append(all, sum)
			writes = append(writes, kinds["put"])
			select {
			case <-stop:
				return
			case <-time.After(sampleEvery):
			}
		}
	})
	happen()
	time.Sleep(eventTime)
	close(stop)
	group.Wait()
	f.b.ReportMetric(float64(all[len(all)-1]-all[0]), name+"_calls")
	f.b.ReportMetric(float64(writes[len(writes)-1]-writes[0]), name+"_writes")
	f.b.ReportMetric(peak(all), name+"_peak_calls/s")
	f.b.ReportMetric(peak(writes), name+"_peak_writes/s")
}

// in returns the hosts of a zone.
func (f *idle) in(zone string) []*fleet.Host {
	var nodes []*fleet.Host
	for _, h := range f.Hosts {
		if h.Zone == zone {
			nodes = append(nodes, h)
		}
	}
	return nodes
}

// measureChanges reports how long changes take from accepted to in force, and their calls.
func (f *idle) measureChanges(n int) {
	f.b.Helper()
	fleet.Eventually(f.b, startWithin, func() error { return f.inForce(n, 1) })
	var longest, sum time.Duration
	size := 0
	f.event("changes", func() {
		for round := range changes {
			revision, bytes := f.change(n, round+1)
			size = bytes
			took := fleet.Eventually(f.b, startWithin, func() error { return f.inForce(n, revision) })
			longest = max(longest, took)
			sum += took
		}
	})
	f.b.ReportMetric(longest.Seconds(), "in_force_longest_s")
	f.b.ReportMetric(sum.Seconds()/changes, "in_force_mean_s")
	f.b.ReportMetric(float64(size), "settings_B")
}

// peak returns the largest growth in a second.
func peak(sums []int64) float64 {
	highest := int64(0)
	for i := window; i < len(sums); i++ {
		highest = max(highest, sums[i]-sums[i-window])
	}
	return float64(highest)
}

func signal(nodes []*fleet.Host, s syscall.Signal) {
	for _, h := range nodes {
		_ = h.Entry.Signal(s)
		_ = h.Steer.Signal(s)
	}
}
