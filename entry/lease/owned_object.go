package lease

import "ebonyrouter.dev/core"

// ownedObject records the epoch since which this incarnation owns an object and when it may start to use it.
type ownedObject struct {
	sinceEpoch int64
	usableAt   core.Instant
}
