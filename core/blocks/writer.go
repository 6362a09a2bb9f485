package blocks

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// Writer puts the objects of a map into the store before a settings revision names it.
//
// Prune removes unnamed objects whose store version is below that of the settings head. So each object of the new map must
// either belong to the map of the base revision, which Prune keeps, or have a version above the base's head: one that
// exists already is written again. When the head moves meanwhile, the change meets a conflict and names nothing.
type Writer struct {
	// Base is the map that the base revision names.
	Base core.BlockSettings
	// HeadVersion is the store version of the settings head of the base revision, 0 if there is none.
	HeadVersion int64
	Store       core.Store
}

// Keep makes the objects of a map that is already in the store safe from removal, so that a revision can name it again.
func (w *Writer) Keep(ctx context.Context, settings core.BlockSettings) error {
	if settings == w.Base || settings.Version == "" {
		return nil
	}
	index, err := ReadIndex(ctx, w.Store, settings)
	if err != nil {
		return err
	}
	safe, err := w.safe(ctx)
	if err != nil {
		return err
	}
	for _, p := range index.Parts {
		if safe[p.Key()] {
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

// Write writes the parts of a map that the base does not have, and then its index.
func (w *Writer) Write(ctx context.Context, e *Encoded) error {
	safe, err := w.safe(ctx)
	if err != nil {
		return err
	}
	for _, p := range e.Index.Parts {
		if safe[p.Key()] {
			continue
		}
		if err := w.put(ctx, p.Key(), e.Parts[p.Digest]); err != nil {
			return err
		}
	}
	return w.put(ctx, IndexKey(e.version), e.content)
}

// put makes key have value at a version above the head's.
func (w *Writer) put(ctx context.Context, key string, value []byte) error {
	return config.Create(ctx, w.Store, key, value, w.HeadVersion)
}

// renew makes an object that exists have a version above the head's.
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

// safe returns the keys of the parts of the base's map.
func (w *Writer) safe(ctx context.Context) (map[string]bool, error) {
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
