package store

import "ebonyrouter.dev/core"

// ListAnswer is the JSON response to list and watch calls; Version is the version from which to watch next.
type ListAnswer struct {
	Objects []core.Object `json:"objects"`
	Version int64         `json:"version"`
}
