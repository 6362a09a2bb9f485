package timer

import (
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

var _ core.Subscription = (*systemSubscription)(nil)

type systemSubscription struct {
	c chan core.Instant
	// due is the time of the next tick; it belongs to ticks.
	due    time.Time
	once   sync.Once
	period time.Duration
	ticks  *ticks
}

// C implements core.Subscription.C.
func (u *systemSubscription) C() <-chan core.Instant {
	return u.c
}

// Stop implements core.Subscription.Stop.
func (u *systemSubscription) Stop() {
	u.once.Do(func() { u.ticks.remove(u) })
}

// tick delivers now unless the last tick was not read yet.
func (u *systemSubscription) tick(now core.Instant) {
	select {
	case u.c <- now:
	default:
	}
}
