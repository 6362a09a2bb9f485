package core

import "time"

// Instant is a point in time in nanoseconds on the host's boot-time clock; it is comparable only within one host.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// After reports whether i is later than other.
func (i Instant) After(other Instant) bool {
	return i > other
}

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool {
	return i < other
}

// Sub returns the duration from other to i.
func (i Instant) Sub(other Instant) time.Duration {
	return time.Duration(i - other)
}
