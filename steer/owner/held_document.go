package owner

import "ebonyrouter.dev/core"

// heldDocument is a document with the version of its object in the store; 0 means that there is none.
type heldDocument struct {
	document core.Ownership
	version  int64
}
