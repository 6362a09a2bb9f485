package blocks

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// Writer writes the objects of a map to the store before a settings revision refers to it.
//
// Pruner.Prune removes unreferenced objects whose store version is below that of the settings head. Each object of the new
// map must therefore either belong to the map of the base revision, which Prune keeps, or have a store version above
// HeadVersion; an existing object is written again to raise its version. If the head changes in the meantime, the settings
// change fails with a conflict, so no revision refers to the map.
type Writer struct {
	// Base is the map that the base revision refers to.
	Base core.BlockSettings
	// HeadVersion is the store version of the settings head at the base revision, or 0 if there is no revision yet.
	HeadVersion int64
	Store       core.Store
}

// Protect keeps Pruner from removing the objects of a map that is already in the store, so that a new revision can refer to
// it.
func (w *Writer) Protect(ctx context.Context, settings core.BlockSettings) error {
	if settings == w.Base || settings.Version == "" {
		return nil
	}
	index, err := ReadIndex(ctx, w.Store, settings)
	if err != nil {
		return err
	}
	protected, err := w.baseParts(ctx)
	if err != nil {
		return err
	}
	for _, p := range index.Parts {
		if protected[p.Key()] {
			continue
		}
		if _, err := ReadPart(ctx, w.Store, p, len(index.Sites)); err != nil {
			return err
		}
		if err := w.renew(ctx, p.Key()); err != nil {
			return err
		}
	}
	return w.renew(ctx, IndexKey(settings.Version))
}

// Write writes the parts of the encoded map that the base map lacks, and then the index.
func (w *Writer) Write(ctx context.Context, e *Encoded) error {
	protected, err := w.baseParts(ctx)
	if err != nil {
		return err
	}
	for _, p := range e.Index.Parts {
		if protected[p.Key()] {
			continue
		}
		if err := w.put(ctx, p.Key(), e.Parts[p.Digest]); err != nil {
			return err
		}
	}
	return w.put(ctx, IndexKey(e.version), e.indexContent)
}

// put writes value under key with a store version above HeadVersion.
func (w *Writer) put(ctx context.Context, key string, value []byte) error {
	return config.Create(ctx, w.Store, key, value, w.HeadVersion)
}

// renew writes an existing object again unless its store version is above HeadVersion.
func (w *Writer) renew(ctx context.Context, key string) error {
	object, err := w.Store.Get(ctx, key)
	if err != nil {
		return errors.Annotatef(err, "read %s", key)
	}
	if object.Version > w.HeadVersion {
		return nil
	}
	return w.put(ctx, key, object.Value)
}

// baseParts returns the store keys of the parts of the base map, which Prune keeps.
func (w *Writer) baseParts(ctx context.Context) (map[string]bool, error) {
	keys := map[string]bool{}
	if w.Base.Version == "" {
		return keys, nil
	}
	index, err := ReadIndex(ctx, w.Store, w.Base)
	if err != nil {
		return nil, err
	}
	for _, p := range index.Parts {
		keys[p.Key()] = true
	}
	return keys, nil
}
