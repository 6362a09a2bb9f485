package core

import (
	"context"

	"github.com/juju/errors"
)

// ErrUnchanged means that an object still has the version that the caller holds; its value was not transferred.
const ErrUnchanged = errors.ConstError("object unchanged")

// ChangedGetter is a Store that can read an object only if it has changed; such a read counts as one call.
type ChangedGetter interface {
	// GetChanged returns the object at key, or ErrUnchanged if its version is version, or ErrNotFound.
	GetChanged(ctx context.Context, key string, version int64) (Object, error)
}
