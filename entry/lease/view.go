package lease

import "ebonyrouter.dev/core"

// view is the immutable state that Owns and ValidUntil read.
type view struct {
	objects    map[string]hold
	validUntil core.Instant
}

// hold is the right to an object; usableAt is the end of its takeover wait.
type hold struct {
	releasing bool
	usableAt  core.Instant
}
