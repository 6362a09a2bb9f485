package store

import "ebonyrouter.dev/core"

// ListAnswer is the JSON answer of list and watch; Version is the version to watch from next.
type ListAnswer struct {
	Objects []core.Object `json:"objects"`
	Version int64         `json:"version"`
}
