package core

import (
	"context"

	"github.com/juju/errors"
)

// ErrUnchanged means that an object still has the version that the caller passed; its value was not transferred.
const ErrUnchanged = errors.ConstError("object unchanged")

// ChangedGetter is implemented by stores that support conditional reads. A conditional read counts as one call.
type ChangedGetter interface {
	// GetChanged returns the object at key, ErrUnchanged if its version equals version, or ErrNotFound.
	GetChanged(ctx context.Context, key string, version int64) (Object, error)
}
