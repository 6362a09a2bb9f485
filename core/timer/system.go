package timer

import (
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

var _ core.Timer = (*System)(nil)

// System is a core.Timer on CLOCK_BOOTTIME, which continues while the process is stopped by SIGSTOP or the host is
// suspended.
type System struct {
	scheduler *scheduler
}

// NewSystem returns the system timer, or an error if the boot-time clock cannot be read.
func NewSystem() (*System, error) {
	return newSystem(unix.CLOCK_BOOTTIME)
}

func newSystem(clock int32) (*System, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return nil, errors.Annotatef(err, "reading the boot-time clock (code %d)", codes.ClockUnavailable)
	}
	return &System{scheduler: newScheduler()}, nil
}

// After implements core.Timer.After.
func (s *System) After(d time.Duration) <-chan core.Instant {
	c := make(chan core.Instant, 1)
	time.AfterFunc(d, func() { c <- s.Now() })
	return c
}

// Now implements core.Timer.Now.
func (s *System) Now() core.Instant {
	return bootTime()
}

// Subscribe implements core.Timer.Subscribe. If the period of one subscription divides that of another, their ticks
// coincide.
func (s *System) Subscribe(period time.Duration) core.Subscription {
	u := &systemSubscription{c: make(chan core.Instant, 1), period: period, scheduler: s.scheduler}
	s.scheduler.add(u)
	return u
}

// bootTime reads the boot-time clock.
func bootTime() core.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// NewSystem has read this clock successfully. There is no fallback, because a lease must never be checked against
		// a wrong time.
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return core.Instant(t.Nano())
}
