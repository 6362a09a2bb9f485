package place

import (
	"time"

	"ebonyrouter.dev/core"
)

const (
	// lateShareUnknown and lateShareKnown are the requests per slot up to which a target accepts requests that are expected to
	// miss their latency objective, if it does not and if it does know their affinity key. A request with a known key
	// occupies a slot for a fraction of the time, so that few others are late because of it. Requests that are expected to
	// miss their deadline are accepted up to lateShareUnknown, because only a response shows that the target has become faster.
	lateShareUnknown = 0.7
	lateShareKnown   = 2.0
)

// roomForLate reports whether the target would serve a late request without making many others late; remaining is the time to
// the deadline.
func (c *choice) roomForLate(now core.Instant, remaining time.Duration) bool {
	share := lateShareUnknown
	if c.expected <= remaining {
		share += c.known * (lateShareKnown - lateShareUnknown)
	}
	return float64(c.target.busy(now)) < share*float64(c.target.Slots)
}
