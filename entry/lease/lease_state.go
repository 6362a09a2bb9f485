package lease

import "ebonyrouter.dev/core"

// leaseState is the immutable state that Owns and ValidUntil read.
type leaseState struct {
	objects    map[string]objectState
	validUntil core.Instant
}

// objectState is the state of an owned object; usableAt is the end of its takeover wait.
type objectState struct {
	releasing bool
	usableAt  core.Instant
}
