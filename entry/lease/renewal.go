package lease

import "ebonyrouter.dev/core"

// renewal is one request to confirm the lease; grantor is empty for a renewal through the store.
type renewal struct {
	address string
	grantor core.GrantorRef
	request core.LeaseRenew
	sentAt  core.Instant
	topic   string
}
