package timer

import (
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

var _ core.Subscription = (*systemSubscription)(nil)

// systemSubscription is one subscription to periodic ticks of a System.
type systemSubscription struct {
	c chan core.Instant
	// due is the time of the next tick; it is guarded by scheduler.mu.
	due       time.Time
	once      sync.Once
	period    time.Duration
	scheduler *scheduler
}

// C implements core.Subscription.C.
func (u *systemSubscription) C() <-chan core.Instant {
	return u.c
}

// Stop implements core.Subscription.Stop.
func (u *systemSubscription) Stop() {
	u.once.Do(func() { u.scheduler.remove(u) })
}

// tick delivers now, or drops the tick if the previous one has not been read yet.
func (u *systemSubscription) tick(now core.Instant) {
	select {
	case u.c <- now:
	default:
	}
}
