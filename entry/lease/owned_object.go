package lease

import "ebonyrouter.dev/core"

// ownedObject records since which epoch this incarnation owns an object and when it may use it.
type ownedObject struct {
	since    int64
	usableAt core.Instant
}
