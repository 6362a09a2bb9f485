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
	// observationTime is how long store calls are still counted after the end of an event.
	observationTime = 6 * time.Second
	outageTime      = 4 * time.Second
	// partitionTime is longer than a lease term and its revocation together.
	partitionTime    = 6 * time.Second
	changeCount      = 4
	sampleInterval   = 200 * time.Millisecond
	samplesPerSecond = 5
)

// BenchmarkEvents measures store calls during events, and the time until a settings change is in force on all hosts.
func BenchmarkEvents(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newIdleFleet(b, n)
			last := f.Hosts[n-1]
			zone := f.hostsIn(last.Zone)
			time.Sleep(settleTime)
			f.measureEvent("quiet", func() {})
			f.measureEvent("restart", func() {
				last.Entry.Kill()
				last.Steer.Kill()
				f.StartHost(last)
			})
			f.measureEvent("reconnect", func() {
				f.Store.SetFaults(`{"outage":true}`)
				time.Sleep(outageTime)
				f.Store.SetFaults(`{"outage":false}`)
			})
			f.measureEvent("parted", func() {
				// Suspends both zones of r1. Unlike the hosts of a partitioned region, suspended ones cannot reach the store.
				signal(f.hostsIn("r1-z0"), syscall.SIGSTOP)
				signal(zone, syscall.SIGSTOP)
				time.Sleep(partitionTime)
				signal(f.hostsIn("r1-z0"), syscall.SIGCONT)
				signal(zone, syscall.SIGCONT)
			})
			f.measureChanges(n)
			f.measureEvent("zone_lost", func() {
				for _, h := range zone {
					h.Entry.Kill()
					h.Steer.Kill()
				}
			})
		})
	}
}

// measureEvent counts store calls from the start of trigger until observationTime after its end. It reports the total and the
// highest number in one second, for all calls and for writes.
func (f *idleFleet) measureEvent(name string, trigger func()) {
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
			case <-time.After(sampleInterval):
			}
		}
	})
	trigger()
	time.Sleep(observationTime)
	close(stop)
	group.Wait()
	f.b.ReportMetric(float64(all[len(all)-1]-all[0]), name+"_calls")
	f.b.ReportMetric(float64(writes[len(writes)-1]-writes[0]), name+"_writes")
	f.b.ReportMetric(peak(all), name+"_peak_calls/s")
	f.b.ReportMetric(peak(writes), name+"_peak_writes/s")
}

// hostsIn returns the hosts of a zone.
func (f *idleFleet) hostsIn(zone string) []*fleet.Host {
	var hosts []*fleet.Host
	for _, h := range f.Hosts {
		if h.Zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// measureChanges reports the time from the acceptance of a change until it is in force on all hosts, and the store calls.
func (f *idleFleet) measureChanges(n int) {
	f.b.Helper()
	fleet.Eventually(f.b, readyTimeout, func() error { return f.checkInForce(n, 1) })
	var longest, sum time.Duration
	size := 0
	f.measureEvent("changes", func() {
		for round := range changeCount {
			revision, settingsSize := f.applyChange(n, round+1)
			size = settingsSize
			elapsed := fleet.Eventually(f.b, readyTimeout, func() error { return f.checkInForce(n, revision) })
			longest = max(longest, elapsed)
			sum += elapsed
		}
	})
	f.b.ReportMetric(longest.Seconds(), "in_force_longest_s")
	f.b.ReportMetric(sum.Seconds()/changeCount, "in_force_mean_s")
	f.b.ReportMetric(float64(size), "settings_B")
}

// peak returns the largest increase within one second of a running total that is sampled every sampleInterval.
func peak(sums []int64) float64 {
	highest := int64(0)
	for i := samplesPerSecond; i < len(sums); i++ {
		highest = max(highest, sums[i]-sums[i-samplesPerSecond])
	}
	return float64(highest)
}

// signal sends a signal to both processes of each host.
func signal(hosts []*fleet.Host, s syscall.Signal) {
	for _, h := range hosts {
		_ = h.Entry.Signal(s)
		_ = h.Steer.Signal(s)
	}
}
