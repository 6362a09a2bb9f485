package dedup

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// remoteStoreDelay is the duration of a store call from another region, with a one-way latency of 55 ms.
const remoteStoreDelay = 110 * time.Millisecond

// waitCluster is a set of hosts that share a store. Either all hosts are in one region and have a common preferred writer,
// or each host is in its own region and is the preferred writer itself.
type waitCluster struct {
	locals     []*Deduper
	forwarders []*Forwarder
	store      *fakeStore
}

func newWaitCluster(hosts int, oneRegion bool) *waitCluster {
	w := &waitCluster{store: newStore(1)}
	w.store.delay = remoteStoreDelay
	timer := fakeTimer{exact: true}
	region := newNetwork(1, hosts)
	region.delay = 8 * time.Millisecond
	for i := range hosts {
		d := New(Config{Log: zap.NewNop(), Store: w.store, Timer: timer, UnixMs: func() int64 { return 1e12 }})
		w.locals = append(w.locals, d)
		if oneRegion {
			w.forwarders = append(w.forwarders, region.join(i, d, timer))
			continue
		}
		w.forwarders = append(w.forwarders, newNetwork(1, 1).join(0, d, timer))
	}
	return w
}

func (w *waitCluster) close() {
	for _, d := range w.locals {
		d.Close()
	}
}

// keyed returns a request with an idempotency key.
func keyed(attempt, key string) core.DedupRequest {
	return core.DedupRequest{Attempt: attempt, Key: key, RetentionS: retentionS, Service: "s"}
}

// Guards against a record that is written after its attempt was rejected as not run (5001): a Begin whose write
// conflicted was decided again after its caller's deadline, and the key was blocked until two more writes had completed.
func TestAbandonedBeginEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWaitCluster(2, false)
		defer w.close()
		for host := range w.forwarders {
			assert.Equal(t, w.begin(t, host, keyed("warm", fmt.Sprint(host)), time.Minute), core.DedupNew)
		}
		writes := w.store.writes
		other := make(chan core.DedupState)
		go func() { other <- w.begin(t, 1, keyed("other", "x"), time.Minute) }()
		time.Sleep(time.Millisecond)
		assert.Equal(t, w.begin(t, 0, keyed("first", "k"), 3*remoteStoreDelay/2), core.DedupState(""))
		assert.Equal(t, <-other, core.DedupNew)
		time.Sleep(time.Minute)
		assert.Equal(t, w.store.writes-writes, 2, "each host writes once, and one write conflicts")
	})
}

// book begins and finishes bookings at a host until the context ends.
func (w *waitCluster) book(ctx context.Context, host int) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(300 * time.Millisecond)
		request := keyed("other", fmt.Sprintf("%d-%d", host, i))
		if _, err := w.forwarders[host].Begin(ctx, request); err == nil {
			time.Sleep(50 * time.Millisecond)
			_ = w.forwarders[host].Finish(ctx, request, core.DedupOutcome{Ran: core.RanYes, Status: 200})
		}
	}
}

// Guards against a retry that is rejected as already running (5002) after the first request was rejected as not run: the
// first Begin ended at its deadline (5001), and its record is removed by a later write, which other writers delay.
func TestRetryAfterNotRun(t *testing.T) {
	for name, oneRegion := range map[string]bool{"one region": true, "three regions": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWaitCluster(3, oneRegion)
				defer w.close()
				ctx, stop := context.WithCancel(t.Context())
				var others sync.WaitGroup
				for host := range w.forwarders {
					others.Go(func() { w.book(ctx, host) })
				}
				states := map[core.DedupState]int{}
				var window time.Duration
				for i := range 60 {
					key := fmt.Sprint(i)
					if w.begin(t, i, keyed("first", key), time.Duration(200+10*i)*time.Millisecond) != "" {
						continue
					}
					rejected := time.Now()
					state := w.begin(t, i+i/3, keyed("second", key), 2*time.Second)
					states[state]++
					for state == core.DedupRunning {
						state = w.begin(t, i+i/3, keyed("third", key), 2*time.Second)
						window = max(window, time.Since(rejected))
					}
				}
				stop()
				others.Wait()
				t.Logf("states of second requests: %v; a record was removed at most %v after the rejection", states, window)
				assert.Assert(t, states[core.DedupNew] > 0)
				assert.Equal(t, states[core.DedupRunning], 0)
			})
		})
	}
}

// begin returns the state that an attempt finds, or "" if it is rejected as not run.
func (w *waitCluster) begin(t *testing.T, host int, request core.DedupRequest, timeout time.Duration) core.DedupState {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	result, err := w.forwarders[host%len(w.forwarders)].Begin(ctx, request)
	if err != nil {
		return ""
	}
	return result.State
}

// Guards against a retry that is rejected as already running (5002) although the attempt ends soon, a retry that waits
// for more than half of its time, and waits that poll the store without a bound.
func TestWaitForOutcome(t *testing.T) {
	const running = 500 * time.Millisecond
	outcomes := map[core.Ran]core.DedupState{
		core.RanNo: core.DedupNew, core.RanUnknown: core.DedupUnknown, core.RanYes: core.DedupDone, "": core.DedupRunning,
	}
	for ran, want := range outcomes {
		for _, oneRegion := range []bool{true, false} {
			for host := range 3 {
				synctest.Test(t, func(t *testing.T) {
					w := newWaitCluster(3, oneRegion)
					defer w.close()
					assert.Equal(t, w.begin(t, 0, keyed("first", "k"), time.Minute), core.DedupNew)
					if ran != "" {
						time.AfterFunc(running, func() {
							assert.NilError(t, w.forwarders[0].Finish(t.Context(), keyed("first", "k"), core.DedupOutcome{Ran: ran}))
						})
					}
					start, reads := time.Now(), w.store.reads
					assert.Equal(t, w.begin(t, host, keyed("second", "k"), 6*time.Second), want)
					elapsed := time.Since(start)
					assert.Assert(t, elapsed < 4*time.Second, "%s at host %d took %v", ran, host, elapsed)
					if ran != "" && host == 0 && !oneRegion {
						assert.Assert(t, elapsed <= running+3*remoteStoreDelay, "an outcome written by this process was noticed after %v", elapsed)
					}
					t.Logf("one region %t, host %d, %q: %v, %d reads", oneRegion, host, ran, elapsed, w.store.reads-reads)
					assert.Assert(t, w.store.reads-reads <= 2*(maxPolls+1), "%d reads", w.store.reads-reads)
				})
			}
		}
	}
}

// Guards against an unlimited number of requests that wait for an outcome, and waits that are counted after their end.
func TestWaitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWaitCluster(1, false)
		defer w.close()
		assert.Equal(t, w.begin(t, 0, keyed("first", "k"), time.Minute), core.DedupNew)
		for _, waiting := range []int64{maxOutcomeWaits - 1, maxOutcomeWaits} {
			w.locals[0].waiting.Store(waiting)
			w.forwarders[0].waiting.Store(waiting)
			start := time.Now()
			assert.Equal(t, w.begin(t, 0, keyed("second", "k"), time.Minute), core.DedupRunning)
			assert.Equal(t, time.Since(start) <= 2*remoteStoreDelay, waiting == maxOutcomeWaits)
			assert.Equal(t, w.locals[0].waiting.Load(), waiting)
			assert.Equal(t, w.forwarders[0].waiting.Load(), waiting)
			assert.Equal(t, len(w.locals[0].shards["dedup/s/00/"].waits), 0)
		}
	})
}

// Guards against a request that waits for an outcome during an outage of the store, although no outcome can be read, and
// against a wait that continues when an outage begins. The request is rejected (5001); before that, the writer and this
// process make one store call each.
func TestNoWaitInOutage(t *testing.T) {
	for after, limit := range map[time.Duration]time.Duration{0: 5 * remoteStoreDelay / 2, time.Second: 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newWaitCluster(2, true)
			defer w.close()
			assert.Equal(t, w.begin(t, 0, keyed("first", "k"), time.Minute), core.DedupNew)
			time.AfterFunc(after, func() { w.store.setFaults(false, true) })
			synctest.Wait()
			start := time.Now()
			assert.Equal(t, w.begin(t, 0, keyed("second", "k"), time.Minute), core.DedupState(""))
			assert.Assert(t, time.Since(start) <= limit, "rejected after %v", time.Since(start))
		})
	}
}
