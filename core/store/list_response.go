package store

import "ebonyrouter.dev/core"

// ListResponse is the JSON response to list and watch calls; Version is the version from which to watch next.
type ListResponse struct {
	Objects []core.Object `json:"objects"`
	Version int64         `json:"version"`
}
