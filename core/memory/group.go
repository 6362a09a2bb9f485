package memory

import "time"

// group tells which connections give way when a port is full. Those of groupFresh and later may, the earlier groups first.
type group int

const (
	// groupNone keeps its connection.
	groupNone group = iota
	// groupLeaving was told to give way.
	groupLeaving
	// groupFresh has sent no complete request yet.
	groupFresh
	// groupStalled has a client that makes the process wait within a request.
	groupStalled
	// groupIdle waits for another request.
	groupIdle
	// groupBusy always has another request.
	groupBusy
	groupCount
)

// group returns the group of a connection. The mutex of the listener must be held.
func (c *Conn) group(now time.Time) group {
	served, quiet := c.served.Load(), c.quiet(now)
	switch {
	case c.stalled(now) >= evictStalledAfter:
		return groupStalled
	case c.leaving:
		return groupLeaving
	case !served && quiet >= evictAfter:
		return groupFresh
	case served && quiet >= evictIdleAfter:
		return groupIdle
	case served && c.serving.Load() && now.Sub(c.accepted) >= evictBusyAfter:
		return groupBusy
	}
	return groupNone
}
