package limit

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/timer"
)

var (
	succeeded = core.Outcome{Latency: time.Millisecond}
	failed    = core.Outcome{Failed: true, Latency: time.Millisecond}
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // a fixed seed makes runs reproducible; the command line can override it
	goleak.VerifyTestMain(m)
}

// tryAdmit admits a request without waiting in the queue; a request that would wait is rejected with QueueAbandoned.
func (f *fixture) tryAdmit(l *Limiter, edit func(*core.AdmitRequest)) (core.Grant, codes.Code) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	request := core.AdmitRequest{Service: "s", Deadline: f.Now().Add(time.Minute)}
	if edit != nil {
		edit(&request)
	}
	g, err := l.Admit(ctx, request)
	var rejected *core.RejectedError
	if errors.As(err, &rejected) {
		return nil, rejected.Code
	}
	return g, 0
}

// TestSlotsAreNeverExceeded guards against more in-flight requests at a target than its current slots, a slot that is
// never freed and a slot that is freed twice.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, l := newFixture(t, 2, 3, nil)
		defer l.Close()
		slots, inFlight := 3, map[string]int{}
		var grants []core.Grant
		for range 60 {
			switch rapid.IntRange(0, 6).Draw(rt, "action") {
			case 0:
				slots = rapid.IntRange(1, 5).Draw(rt, "slots")
				f.setSettings(2, slots, nil)
			case 1:
				f.advance(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			case 2, 3:
				if len(grants) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(grants)-1).Draw(rt, "grant")
				g := grants[i]
				grants = append(grants[:i], grants[i+1:]...)
				inFlight[g.Target().Target]--
				g.Release([]core.Outcome{{}, succeeded, failed}[rapid.IntRange(0, 2).Draw(rt, "outcome")])
				g.Release(succeeded)
			default:
				if g, _ := f.tryAdmit(l, nil); g != nil {
					grants = append(grants, g)
					name := g.Target().Target
					inFlight[name]++
					assert.Assert(rt, inFlight[name] <= slots, "%d in flight of %d", inFlight[name], slots)
				}
			}
			inUse := l.InUse()
			for name, n := range inFlight {
				assert.Equal(rt, inUse["target/s/"+name], n)
			}
		}
	})
}

// TestWithdrawnSlotsAreNotGranted guards against new work for a target that was drained, is no longer owned or has fewer
// slots, and against changes that end in-flight requests.
func TestWithdrawnSlotsAreNotGranted(t *testing.T) {
	tests := map[string]struct {
		failure string
		edit    func(*fixture)
		code    codes.Code
	}{
		"drained target": {
			failure: "new work for a target that is being drained",
			edit: func(f *fixture) {
				f.setSettings(1, 3, func(s *core.Snapshot, _ *core.EffectivePolicy) { s.Settings.Drains.Targets = []string{"s/t0"} })
			},
			code: codes.NoPermittedTarget,
		},
		"drained zone": {
			failure: "new work for a zone that is being drained",
			edit: func(f *fixture) {
				f.setSettings(1, 3, func(s *core.Snapshot, _ *core.EffectivePolicy) { s.Settings.Drains.Zones = []string{"z1"} })
			},
			code: codes.NoPermittedTarget,
		},
		"lost lease": {
			failure: "new work for a target whose lease ended after the ownership hint was refreshed",
			edit:    func(f *fixture) { f.notOwned["target/s/t0"] = true },
			code:    codes.NoPermittedTarget,
		},
		"reduced": {
			failure: "a reduction that ends in-flight requests or does not apply to new ones",
			edit:    func(f *fixture) { f.setSettings(1, 1, nil) },
			code:    codes.QueueAbandoned,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.failure)
			f, l := newFixture(t, 1, 3, nil)
			g, code := f.tryAdmit(l, nil)
			assert.Equal(t, code, codes.Code(0))
			test.edit(f)
			_, code = f.tryAdmit(l, nil)
			assert.Equal(t, code, test.code)
			assert.Equal(t, l.InUse()["target/s/t0"], 1)
			g.Release(succeeded)
			assert.Assert(t, l.Idle())
		})
	}
}

// TestEjection guards against a target that fails fast and attracts traffic, against ejecting more targets than
// eject_max_percent, against more than one probe at a time, and against full load on a target that has just returned to
// use.
func TestEjection(t *testing.T) {
	f, l := newFixture(t, 2, 10, nil)
	fail := func(name string) {
		g, code := f.tryAdmit(l, func(q *core.AdmitRequest) { q.Avoid = []string{map[string]string{"t0": "t1", "t1": "t0"}[name]} })
		assert.Equal(t, code, codes.Code(0))
		assert.Equal(t, g.Target().Target, name)
		g.Release(failed)
	}
	for range 3 {
		fail("t0")
	}
	assert.Equal(t, l.Load()["s"].FreeSlots, 10)
	for range 3 {
		fail("t1")
	}
	fail("t1") // above eject_max_percent, the target stays usable as the last resort
	assert.Equal(t, l.Load()["s"].FreeSlots, 0, "load reports must not attract traffic to failing targets")
	assert.Equal(t, l.Stats().Ejected, 2)
	f.advance(time.Second)
	avoid := func(q *core.AdmitRequest) { q.Avoid = []string{"t1"} }
	probe, _ := f.tryAdmit(l, avoid)
	assert.Equal(t, probe.Target().Target, "t0")
	_, code := f.tryAdmit(l, avoid)
	assert.Equal(t, code, codes.NoPermittedTarget)
	probe.Release(succeeded)
	g, _ := f.tryAdmit(l, avoid)
	assert.Equal(t, g.Target().Target, "t0")
	_, code = f.tryAdmit(l, avoid)
	assert.Equal(t, code, codes.QueueAbandoned, "only one of ten slots is usable at the start of the ramp")
	f.advance(time.Second)
	g.Release(succeeded)
	free := 0
	for g, _ := f.tryAdmit(l, avoid); g != nil; g, _ = f.tryAdmit(l, avoid) {
		free++
	}
	assert.Equal(t, free, 4, "10 percent at the start and one step of 30 percent, of ten slots")
}

// TestColdTargetsRamp guards against full load on a cold target: one that was just undrained or moved to another address.
func TestColdTargetsRamp(t *testing.T) {
	tests := map[string]func(change func(edit func(*core.Settings))){
		"undrained target": func(change func(func(*core.Settings))) {
			change(func(s *core.Settings) { s.Drains.Targets = []string{"s/t0"} })
			change(func(*core.Settings) {})
		},
		"undrained zone": func(change func(func(*core.Settings))) {
			change(func(s *core.Settings) { s.Drains.Zones = []string{"z1"} })
			change(func(*core.Settings) {})
		},
		"changed address": func(change func(func(*core.Settings))) {
			change(func(s *core.Settings) {
				t := s.Services["s"].Targets["t0"]
				t.Address = "127.0.0.1:2"
				s.Services["s"].Targets["t0"] = t
			})
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, l := newFixture(t, 1, 10, nil)
			assert.Equal(t, l.Load()["s"].FreeSlots, 10)
			test(func(edit func(*core.Settings)) {
				f.setSettings(1, 10, func(s *core.Snapshot, _ *core.EffectivePolicy) { edit(&s.Settings) })
				l.tick()
			})
			assert.Equal(t, l.Load()["s"].FreeSlots, 1, "the ramp starts at 10 percent of ten slots")
			assert.Equal(t, l.Stats(), Stats{Ramping: 1, Shifts: 1, ShiftsRamping: 1, Targets: 1})
		})
	}
}

// TestReserveForLocalRequests guards against requests of other regions that use the slots reserved for local requests.
func TestReserveForLocalRequests(t *testing.T) {
	f, l := newFixture(t, 2, 2, nil)
	remote := func(q *core.AdmitRequest) { q.FromRegion = "r2" }
	for range 2 {
		_, code := f.tryAdmit(l, remote)
		assert.Equal(t, code, codes.Code(0))
	}
	_, code := f.tryAdmit(l, remote)
	assert.Equal(t, code, codes.ReserveKept)
	_, code = f.tryAdmit(l, nil)
	assert.Equal(t, code, codes.Code(0))
}

// TestRemoteRequestsAreFair guards against one tenant or the batch class of another region using all unreserved slots.
func TestRemoteRequestsAreFair(t *testing.T) {
	f, l := newFixture(t, 2, 20, nil)
	admitAll := func(tenant, class string) int {
		n := 0
		for {
			g, _ := f.tryAdmit(l, func(q *core.AdmitRequest) { q.FromRegion, q.Tenant, q.Class = "r2", tenant, class })
			if g == nil {
				return n
			}
			n++
		}
	}
	assert.Equal(t, admitAll("batch", classBatch), 16, "4 of the 20 unreserved slots are left to other classes")
	assert.Equal(t, admitAll("first", ""), 4)
	f, l = newFixture(t, 2, 20, nil)
	_, code := f.tryAdmit(l, func(q *core.AdmitRequest) { q.FromRegion, q.Tenant = "r2", "modest" })
	assert.Equal(t, code, codes.Code(0))
	assert.Equal(t, admitAll("greedy", ""), 10, "each of two tenants gets an equal part")
	assert.Equal(t, admitAll("modest", ""), 9)
}

// TestWaitersLeaveTheQueue guards against a waiter that stays queued after its deadline or the loss of the lease, and
// against a slot granted to a waiter that has left the queue.
func TestWaitersLeaveTheQueue(t *testing.T) {
	f, l := newFixture(t, 1, 1, nil)
	g, _ := f.tryAdmit(l, nil)
	wait := func(deadline time.Duration) chan error {
		result := make(chan error, 1)
		go func() {
			_, err := l.Admit(context.Background(), core.AdmitRequest{Service: "s", Deadline: f.Now().Add(deadline)})
			result <- err
		}()
		for f.pendingAlarms() == 0 {
			time.Sleep(time.Millisecond)
		}
		return result
	}
	first := wait(time.Second)
	assert.Equal(t, l.Load()["s"].Queued, 1)
	f.advance(time.Second)
	assert.ErrorContains(t, <-first, "deadline passed")
	assert.Equal(t, l.Load()["s"].Queued, 0)
	second := wait(time.Minute)
	f.notOwned["target/s/t0"] = true
	f.advance(ownershipRefreshInterval)
	l.tick()
	assert.ErrorContains(t, <-second, fmt.Sprintf("code %d", codes.NoPermittedTarget))
	g.Release(succeeded)
	assert.Assert(t, l.Idle())
}

// TestConcurrentRequests guards against data races, lost grants and exceeded slots when requests are queued, cancelled
// and finished concurrently.
func TestConcurrentRequests(t *testing.T) {
	f, l := newFixture(t, 2, 2, func(_ *core.Snapshot, p *core.EffectivePolicy) { p.QueueMax = 20 })
	var inFlight, served atomic.Int64
	var tasks sync.WaitGroup
	for i := range 16 {
		tasks.Go(func() {
			for n := range 200 {
				ctx, cancel := context.WithCancel(t.Context())
				if (i+n)%5 == 0 {
					go cancel()
				}
				deadline := f.Now().Add(time.Duration(1+n%20) * time.Millisecond)
				g, err := l.Admit(ctx, core.AdmitRequest{Service: "s", Deadline: deadline, Tenant: fmt.Sprint(i % 3)})
				if err == nil {
					served.Add(1)
					if now := inFlight.Add(1); now > 4 {
						t.Errorf("%d requests in 4 slots", now)
					}
					f.advance(100 * time.Microsecond)
					inFlight.Add(-1)
					g.Release(succeeded)
				} else {
					f.advance(time.Millisecond)
				}
				cancel()
			}
		})
	}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				f.advance(50 * time.Microsecond)
				l.tick()
			}
		}
	}()
	tasks.Wait()
	close(stop)
	assert.Assert(t, l.Idle())
	assert.Assert(t, served.Load() > 0)
}

// expiringLease owns every object until a fixed instant.
type expiringLease struct {
	core.Timer
	until core.Instant
}

func (e expiringLease) Owns(string) (core.Instant, bool) { return e.until, e.Now().Before(e.until) }

func (e expiringLease) ValidUntil(string) core.Instant { return e.until }

// TestWaitersAreServedByTicks guards against a waiter that does not notice a lost lease before its deadline, because the
// ticks at queueTickInterval were not started.
func TestWaitersAreServedByTicks(t *testing.T) {
	clock, err := timer.NewSystem()
	assert.NilError(t, err)
	f, unused := newFixture(t, 1, 1, nil)
	unused.Close()
	started := clock.Now()
	l := New(Config{Lease: expiringLease{clock, started.Add(50 * time.Millisecond)}, Region: "r1", Settings: f, Timer: clock, Zone: "z1"})
	t.Cleanup(l.Close)
	grant, err := l.Admit(t.Context(), core.AdmitRequest{Service: "s"})
	assert.NilError(t, err)
	defer grant.Release(succeeded)
	_, err = l.Admit(t.Context(), core.AdmitRequest{Service: "s", Deadline: started.Add(time.Minute)})
	assert.ErrorContains(t, err, fmt.Sprintf("code %d", codes.NoPermittedTarget))
}
