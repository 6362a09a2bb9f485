package route

import (
	"time"

	"ebonyrouter.dev/core"
)

// candidate is an owner that may receive the request.
type candidate struct {
	draining bool
	free     int
	host     *core.Host
	known    bool
	ownZone  bool
	wait     time.Duration
}

// better reports whether c has the better claim on a request that needs a free slot.
func (c *candidate) better(other *candidate) bool {
	if c.draining != other.draining {
		return !c.draining
	}
	if c.ownZone != other.ownZone {
		return c.ownZone
	}
	return c.free > other.free
}
