package dedup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// loadDuration is how long bookings arrive in each case.
const loadDuration = 3 * time.Second

// BenchmarkBookings measures bookings per store write and the latency of Begin. A store call takes 4 ms, a message over a
// link 4 ms, and a booking 50 ms at its upstream. Bookings arrive at random times at random hosts. Run it with
// -benchtime=1x.
func BenchmarkBookings(b *testing.B) {
	for _, rate := range []int{50, 200, 800, 3200} {
		for _, hosts := range []int{1, 4, 11} {
			for _, preferred := range []bool{false, true} {
				b.Run(fmt.Sprintf("rate=%d/hosts=%d/preferred=%t", rate, hosts, preferred), func(b *testing.B) {
					for range b.N {
						book(b, rate, hosts, preferred)
					}
				})
			}
		}
	}
}

// book runs bookings at a rate per second for loadDuration and reports the metrics.
func book(b *testing.B, rate, hosts int, preferred bool) {
	store := newStore(1)
	store.delay = 4 * time.Millisecond
	network := newNetwork(1, hosts)
	network.delay = 4 * time.Millisecond
	var dedupers []core.Deduper
	for i := range hosts {
		d := New(Config{
			Log: zap.NewNop(), Store: store, Timer: fakeTimer{exact: true}, UnixMs: func() int64 { return 1e12 },
		})
		defer d.Close()
		dedupers = append(dedupers, d)
		if preferred {
			dedupers[i] = network.join(i, d, fakeTimer{exact: true})
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	count := rate * int(loadDuration/time.Second)
	begins := make([]time.Duration, count)
	var failed atomic.Int64
	var bookings sync.WaitGroup
	start := time.Now()
	arrival := start
	for i := range count {
		arrival = arrival.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))
		time.Sleep(time.Until(arrival))
		d := dedupers[rng.IntN(hosts)]
		bookings.Go(func() {
			request := core.DedupRequest{Attempt: "a", Key: fmt.Sprint(i), RetentionS: 60, Service: "s"}
			beginStart := time.Now()
			if _, err := d.Begin(b.Context(), request); err != nil {
				failed.Add(1)
			}
			begins[i] = time.Since(beginStart)
			time.Sleep(50 * time.Millisecond)
			if err := d.Finish(b.Context(), request, core.DedupOutcome{Body: make([]byte, 500), Ran: core.RanYes}); err != nil {
				failed.Add(1)
			}
		})
	}
	bookings.Wait()
	slices.Sort(begins)
	b.ReportMetric(float64(failed.Load()), "failed")
	b.ReportMetric(float64(count)/float64(store.writes), "bookings/write")
	b.ReportMetric(float64(store.writes)/time.Since(start).Seconds(), "writes/s")
	b.ReportMetric(begins[count/2].Seconds()*1000, "begin_p50_ms")
	b.ReportMetric(begins[count*99/100].Seconds()*1000, "begin_p99_ms")
}
