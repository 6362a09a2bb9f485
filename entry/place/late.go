package place

import "ebonyrouter.dev/core"

const (
	// lateShareUnknown and lateShareKnown are the requests per slot up to which a target accepts requests that are expected to
	// miss their deadline or latency objective, if it does not and if it does know their affinity key. A request with a
	// known key occupies a slot for a fraction of the time, so that few others are late because of it.
	lateShareUnknown = 0.7
	lateShareKnown   = 2.0
)

// roomForLate reports whether the target would serve the request late without making many others late.
func (c *choice) roomForLate(now core.Instant) bool {
	share := lateShareUnknown + c.known*(lateShareKnown-lateShareUnknown)
	return float64(c.target.busy(now)) < share*float64(c.target.Slots)
}
