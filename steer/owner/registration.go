package owner

import "ebonyrouter.dev/core"

// registration says since when a steer has seen an incarnation of a host in the store.
type registration struct {
	incarnation string
	since       core.Instant
}
