package core

import "context"

// FreshnessChecker reports whether the settings in force are proven to be recent enough to accept an API key by them.
type FreshnessChecker interface {
	// Await waits for a short time for a proof that the given revision was the newest one recently. It returns a
	// *RejectedError if there is none.
	Await(ctx context.Context, revision int64) error
	// Check is Await without the wait. It is called immediately before a request is sent to a target.
	Check(revision int64) error
}
