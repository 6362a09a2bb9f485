package store

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// ErrReadOnly is returned by every write to a ReadOnly store; nothing is written.
const ErrReadOnly = errors.ConstError("store is read-only")

// ReadOnly forwards reads to another store and rejects writes.
type ReadOnly struct {
	core.Store
}

var _ core.Store = (*ReadOnly)(nil)

// NewReadOnly returns a read-only wrapper of store.
func NewReadOnly(store core.Store) *ReadOnly {
	return &ReadOnly{Store: store}
}

// Delete implements core.Store.Delete.
func (r *ReadOnly) Delete(_ context.Context, key string, _ int64) error {
	return errors.Annotatef(ErrReadOnly, "delete %s", key)
}

// Put implements core.Store.Put.
func (r *ReadOnly) Put(_ context.Context, key string, _ []byte, _ int64) (int64, error) {
	return 0, errors.Annotatef(ErrReadOnly, "put %s", key)
}
