package timer

import (
	"time"

	"ebonyrouter.dev/core"
)

var _ core.Subscription = (*manualAlarm)(nil)

// manualAlarm fires once, or repeatedly if period is positive.
type manualAlarm struct {
	due    core.Instant
	c      chan core.Instant
	period time.Duration
	timer  *Manual
}

// C implements core.Subscription.C.
func (a *manualAlarm) C() <-chan core.Instant {
	return a.c
}

// Stop implements core.Subscription.Stop.
func (a *manualAlarm) Stop() {
	a.timer.mu.Lock()
	defer a.timer.mu.Unlock()
	a.timer.remove(a)
}
