package route

import (
	"time"

	"ebonyrouter.dev/core"
)

// candidate is an owner to which the request may be sent.
type candidate struct {
	draining  bool
	freeSlots int
	host      *core.Host
	// reported means that the load of the host is known from a recent report.
	reported  bool
	localZone bool
	wait      time.Duration
}

// better reports whether c is preferred to other for a request that needs a free slot: hosts that are not draining first,
// then hosts of the local zone, then those with more free slots.
func (c *candidate) better(other *candidate) bool {
	if c.draining != other.draining {
		return !c.draining
	}
	if c.localZone != other.localZone {
		return c.localZone
	}
	return c.freeSlots > other.freeSlots
}
