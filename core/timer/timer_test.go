package timer_test

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against alarms that fire too early, out of order or with a wrong instant.
func TestManualFiresInOrder(t *testing.T) {
	m := timer.NewManual()
	start := m.Now()
	late := m.After(2 * time.Second)
	early := m.After(time.Second)
	m.Advance(time.Second - 1)
	assert.Equal(t, len(early), 0)
	m.Advance(10 * time.Second)
	assert.Equal(t, (<-early).Sub(start), time.Second)
	assert.Equal(t, (<-late).Sub(start), 2*time.Second)
	assert.Equal(t, m.Pending(), 0)
}

// Guards against ticks that accumulate for a slow reader, and against ticks after Stop.
func TestSubscriptionDropsAndStops(t *testing.T) {
	s, err := timer.NewSystem()
	assert.NilError(t, err)
	m := timer.NewManual()
	for name, tc := range map[string]struct {
		timer core.Timer
		wait  func(time.Duration)
	}{
		"manual": {m, m.Advance},
		"system": {s, time.Sleep},
	} {
		t.Run(name, func(t *testing.T) {
			u := tc.timer.Subscribe(time.Millisecond)
			tc.wait(20 * time.Millisecond)
			assert.Assert(t, len(u.C()) <= 1)
			<-u.C()
			u.Stop()
			select {
			case <-u.C():
			default:
			}
			tc.wait(5 * time.Millisecond)
			assert.Equal(t, len(u.C()), 0)
		})
	}
}

// Guards against subscriptions with the same period whose ticks do not coincide, so that each wakes the process separately.
func TestSystemTicksTogether(t *testing.T) {
	s, err := timer.NewSystem()
	assert.NilError(t, err)
	first := s.Subscribe(20 * time.Millisecond)
	defer first.Stop()
	time.Sleep(7 * time.Millisecond)
	second := s.Subscribe(20 * time.Millisecond)
	defer second.Stop()
	for range 3 {
		assert.Equal(t, <-first.C(), <-second.C())
	}
}

// Guards against a lost tick or a leaked goroutine when subscriptions are added and stopped concurrently.
func TestSystemConcurrentSubscriptions(t *testing.T) {
	s, err := timer.NewSystem()
	assert.NilError(t, err)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 20 {
				u := s.Subscribe(time.Millisecond)
				<-u.C()
				u.Stop()
			}
		})
	}
	group.Wait()
}

// Guards against a clock that does not advance with real time.
func TestSystemAfter(t *testing.T) {
	s, err := timer.NewSystem()
	assert.NilError(t, err)
	start := s.Now()
	end := <-s.After(5 * time.Millisecond)
	assert.Assert(t, end.Sub(start) >= 5*time.Millisecond)
}

// BenchmarkSystemNow measures one clock reading, which every lease check of a request needs.
func BenchmarkSystemNow(b *testing.B) {
	s, err := timer.NewSystem()
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_ = s.Now()
	}
}
