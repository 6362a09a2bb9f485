package lease

import "ebonyrouter.dev/core"

// notice is a withdrawal and the link addresses that it is sent to.
type notice struct {
	addresses []string
	message   core.LeaseWithdrawn
}
