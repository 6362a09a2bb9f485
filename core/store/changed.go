package store

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// GetChanged reads an object unless it still has the given version, in which case it returns core.ErrUnchanged. A store that
// does not implement core.ChangedGetter transfers the object in both cases.
func GetChanged(ctx context.Context, s core.Store, key string, version int64) (core.Object, error) {
	if c, ok := s.(core.ChangedGetter); ok {
		return c.GetChanged(ctx, key, version)
	}
	o, err := s.Get(ctx, key)
	if err == nil && o.Version == version {
		return core.Object{}, errors.Annotatef(core.ErrUnchanged, "get %s", key)
	}
	return o, err
}
