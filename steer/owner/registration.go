package owner

import "ebonyrouter.dev/core"

// registration records since when a steer has seen an incarnation of a host registered in the store.
type registration struct {
	incarnation string
	since       core.Instant
}
