package relay

import "ebonyrouter.dev/core"

// Response is what a response of the store has shown of one kind of objects. For a list, After and AsOf are the revision of the list.
type Response struct {
	// After and AsOf are the revisions of the store after and up to which Changes are complete, in the era Era.
	After, AsOf, Era int64
	Changes          []core.StoreChange
	// CurrentAt is the core.Instant at which the response showed the newest state. It is 0 for a serializable read, which may be
	// seconds old.
	CurrentAt core.Instant
}
