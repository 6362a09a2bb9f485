package store

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// DryRun forwards reads to another store and records writes instead of executing them.
type DryRun struct {
	core.Store
	mu     sync.Mutex
	writes []core.Object
}

var _ core.Store = (*DryRun)(nil)

// NewDryRun returns a dry-run wrapper of store.
func NewDryRun(store core.Store) *DryRun {
	return &DryRun{Store: store}
}

// Delete implements core.Store.Delete. It returns core.ErrConflict if the expected version is not the stored one.
func (d *DryRun) Delete(ctx context.Context, key string, version int64) error {
	return d.record(ctx, core.Object{Key: key, Version: version, Deleted: true})
}

// Put implements core.Store.Put. It returns core.ErrConflict if the expected version is not the stored one.
func (d *DryRun) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > core.MaxObjectBytes {
		return 0, errors.Annotatef(core.ErrTooLarge, "put %s with %d bytes", key, len(value))
	}
	return version + 1, d.record(ctx, core.Object{Key: key, Value: bytes.Clone(value), Version: version})
}

// Writes returns the recorded writes in order; the Version of each is the one that the write expected.
func (d *DryRun) Writes() []core.Object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.writes)
}

// record checks a write against the stored object and records it.
func (d *DryRun) record(ctx context.Context, write core.Object) error {
	current, err := d.Store.Get(ctx, write.Key)
	switch {
	case errors.Is(err, core.ErrNotFound) && write.Deleted:
		return err
	case err != nil && !errors.Is(err, core.ErrNotFound):
		return err
	case current.Version != write.Version:
		return errors.Annotatef(core.ErrConflict, "write %s: version %d, not %d", write.Key, current.Version, write.Version)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes = append(d.writes, write)
	return nil
}
