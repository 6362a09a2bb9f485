package core

import "context"

// ChangeChecker asks the platform's store whether objects of a kind have changed.
type ChangeChecker interface {
	// CheckChanges reports whether objects of a kind have changed after a revision, and the revision up to which this is known. It
	// does not wait for a change.
	CheckChanges(ctx context.Context, kind string, after int64) (changed bool, asOf int64, err error)
}
