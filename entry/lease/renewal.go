package lease

import "ebonyrouter.dev/core"

// renewal is one request for a confirmation; grantor is empty when the store is asked.
type renewal struct {
	address string
	grantor core.GrantorRef
	request core.LeaseRenew
	sentAt  core.Instant
	topic   string
}
