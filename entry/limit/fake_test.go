package limit

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"ebonyrouter.dev/core"
)

// fakeTimer is a manual clock that only advance moves. Its subscriptions never tick.
type fakeTimer struct {
	mu     sync.Mutex
	now    core.Instant
	alarms map[chan core.Instant]core.Instant
}

func (f *fakeTimer) After(d time.Duration) <-chan core.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan core.Instant, 1)
	f.alarms[c] = f.now.Add(d)
	return c
}

func (f *fakeTimer) C() <-chan core.Instant { return nil }

func (f *fakeTimer) Now() core.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakeTimer) Stop() {}

func (f *fakeTimer) Subscribe(time.Duration) core.Subscription { return f }

// advance moves the time forward and fires the alarms that are due.
func (f *fakeTimer) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for c, due := range f.alarms {
		if !f.now.Before(due) {
			delete(f.alarms, c)
			c <- f.now
		}
	}
}

// fixture provides the time, the lease and the settings of one process. It owns every object that is not in notOwned.
type fixture struct {
	*fakeTimer
	notOwned map[string]bool
	snapshot *core.Snapshot
}

func (f *fixture) Current() *core.Snapshot { return f.snapshot }

func (f *fixture) Owns(object string) (core.Instant, bool) {
	return f.Now().Add(core.LeaseTerm), !f.notOwned[object]
}

func (f *fixture) ValidUntil(object string) core.Instant {
	if until, ok := f.Owns(object); ok {
		return until
	}
	return 0
}

// setSettings applies settings with n targets of the given slots, changed by edit.
func (f *fixture) setSettings(n, slots int, edit func(*core.Snapshot, *core.EffectivePolicy)) {
	policy := core.EffectivePolicy{
		DeadlineMs: 1000, EjectFailures: 3, EjectMaxPercent: 50, EjectMs: 1000, QueueMax: 8,
		RampIntervalMs: 1000, RampStartPercent: 10, RampStepPercent: 30, ShiftReservePercent: 50,
	}
	s := &core.Snapshot{RegionOf: map[string]string{"z1": "r1", "z2": "r1"}}
	s.Settings.Shifts = []core.ShiftSettings{{From: "r1", To: "r2", Service: "s", RequestsPerSecond: 100}}
	targets := map[string]core.TargetSettings{}
	for i := range n {
		targets[fmt.Sprintf("t%d", i)] = core.TargetSettings{Address: "127.0.0.1:1", Slots: slots, Zone: "z1"}
	}
	s.Settings.Services = map[string]core.ServiceSettings{"s": {Targets: targets}}
	if edit != nil {
		edit(s, &policy)
	}
	s.Policies = map[string]map[string]core.EffectivePolicy{"s": {"z1": policy, "z2": policy}}
	f.snapshot = s
}

// newFixture returns a fixture and a Limiter that uses it.
func newFixture(tb testing.TB, n, slots int, edit func(*core.Snapshot, *core.EffectivePolicy)) (*fixture, *Limiter) {
	f := &fixture{
		fakeTimer: &fakeTimer{now: core.Instant(time.Hour), alarms: map[chan core.Instant]core.Instant{}},
		notOwned:  map[string]bool{},
	}
	f.setSettings(n, slots, edit)
	l := New(Config{Lease: f, Region: "r1", Settings: f, Timer: f, Zone: "z1"})
	tb.Cleanup(l.Close)
	return f, l
}

// pendingAlarms returns the number of alarms that have not fired.
func (f *fakeTimer) pendingAlarms() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.alarms)
}
