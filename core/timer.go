package core

import "time"

// Timer is the clock and timer of all components, so that tests can control time.
type Timer interface {
	// After returns a channel that receives the current instant once, after d.
	After(d time.Duration) <-chan Instant
	// Now returns the current instant of the boot-time clock.
	Now() Instant
	// Subscribe returns a subscription that ticks every period and drops ticks while its reader is behind.
	Subscribe(period time.Duration) Subscription
}

// Subscription delivers periodic ticks of a Timer until it is stopped.
type Subscription interface {
	// C returns the channel of ticks.
	C() <-chan Instant
	// Stop ends the ticks; the channel is not closed.
	Stop()
}
