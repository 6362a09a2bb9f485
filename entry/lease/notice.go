package lease

import "ebonyrouter.dev/core"

// notice is one withdrawal and the link addresses of those who have to learn of it.
type notice struct {
	addresses []string
	message   core.LeaseWithdrawn
}
