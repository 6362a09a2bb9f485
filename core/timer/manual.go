package timer

import (
	"slices"
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

var _ core.Timer = (*Manual)(nil)

// Manual is a core.Timer for tests whose clock only moves when Advance is called.
type Manual struct {
	mu     sync.Mutex
	alarms []*manualAlarm
	now    core.Instant
}

// NewManual returns a manual timer whose clock starts at one hour after boot.
func NewManual() *Manual {
	return &Manual{now: core.Instant(time.Hour)}
}

// Advance moves the clock forward by d and fires all alarms and ticks that become due, in the order of their times.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.now.Add(d)
	for {
		a := m.next()
		if a == nil || a.due.After(end) {
			break
		}
		m.now = max(m.now, a.due)
		m.fire(a)
	}
	m.now = end
}

// After implements core.Timer.After.
func (m *Manual) After(d time.Duration) <-chan core.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &manualAlarm{due: m.now.Add(d), c: make(chan core.Instant, 1), timer: m}
	if d <= 0 {
		a.c <- m.now
		return a.c
	}
	m.alarms = append(m.alarms, a)
	return a.c
}

// Now implements core.Timer.Now.
func (m *Manual) Now() core.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe implements core.Timer.Subscribe.
func (m *Manual) Subscribe(period time.Duration) core.Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &manualAlarm{due: m.now.Add(period), c: make(chan core.Instant, 1), period: period, timer: m}
	m.alarms = append(m.alarms, a)
	return a
}

// Pending returns the number of pending alarms and subscriptions, so that tests can wait until the tested code has set one.
func (m *Manual) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.alarms)
}

func (m *Manual) fire(a *manualAlarm) {
	select {
	case a.c <- m.now:
	default:
	}
	if a.period > 0 {
		a.due = a.due.Add(a.period)
		return
	}
	m.remove(a)
}

func (m *Manual) next() *manualAlarm {
	if len(m.alarms) == 0 {
		return nil
	}
	return slices.MinFunc(m.alarms, func(a, b *manualAlarm) int { return int(a.due.Sub(b.due)) })
}

func (m *Manual) remove(a *manualAlarm) {
	m.alarms = slices.DeleteFunc(m.alarms, func(b *manualAlarm) bool { return a == b })
}
