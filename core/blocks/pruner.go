package blocks

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// listShards is the number of list calls for each kind of object, one for each value of the first two digits of the digest.
// A list returns the values too, and those of all parts are too large for one response.
const listShards = 256

// maxRemoveAttempts limits the attempts to remove an object when responses of the store are lost.
const maxRemoveAttempts = 8

// Pruner removes the objects of block maps that no retained settings revision refers to. It keeps the objects that a change
// in progress may refer to; see Writer.
type Pruner struct {
	// HeadVersion is the store version of the settings head. It must be read before the revisions in Retained.
	HeadVersion int64
	// Retained holds the maps that the retained revisions refer to.
	Retained []core.BlockSettings
	Store    core.Store
}

// Pruned holds the numbers of objects and bytes removed and the number of objects kept.
type Pruned struct {
	Bytes   int64
	Kept    int
	Removed int
}

// Prune removes each object that belongs to no map in Retained and whose store version is below HeadVersion. If the index of
// a map in Retained cannot be read, it returns an error and removes nothing.
func (p *Pruner) Prune(ctx context.Context) (Pruned, error) {
	var pruned Pruned
	retained, err := p.retainedKeys(ctx)
	if err != nil {
		return pruned, err
	}
	for _, prefix := range []string{keyIndexPrefix, keyPartPrefix} {
		for shard := range listShards {
			objects, err := p.Store.List(ctx, fmt.Sprintf("%s%02x", prefix, shard))
			if err != nil {
				return pruned, errors.Annotate(err, "list block maps")
			}
			for _, o := range objects {
				if err := p.remove(ctx, o, retained[o.Key], &pruned); err != nil {
					return pruned, err
				}
			}
		}
	}
	return pruned, nil
}

// retainedKeys returns the store keys of the objects of all maps in Retained.
func (p *Pruner) retainedKeys(ctx context.Context) (map[string]bool, error) {
	keys := map[string]bool{}
	for _, settings := range p.Retained {
		key := IndexKey(settings.Version)
		if settings.Version == "" || keys[key] {
			continue
		}
		index, err := ReadIndex(ctx, p.Store, settings)
		if err != nil {
			return nil, err
		}
		keys[key] = true
		for _, part := range index.Parts {
			keys[part.Key()] = true
		}
	}
	return keys, nil
}

// remove deletes an object unless a map in Retained contains it or it was written after the settings head. If the response is
// lost, it retries.
func (p *Pruner) remove(ctx context.Context, o core.Object, retained bool, pruned *Pruned) error {
	if retained || o.Version >= p.HeadVersion {
		pruned.Kept++
		return nil
	}
	var err error
	for range maxRemoveAttempts {
		err = p.Store.Delete(ctx, o.Key, o.Version)
		switch {
		case err == nil, errors.Is(err, core.ErrNotFound):
			pruned.Removed++
			pruned.Bytes += int64(len(o.Value))
			return nil
		case errors.Is(err, core.ErrConflict):
			// A change wrote the object again because its revision will refer to it.
			pruned.Kept++
			return nil
		case !errors.Is(err, core.ErrUncertain):
			return errors.Annotatef(err, "remove %s", o.Key)
		}
	}
	return errors.Annotatef(err, "remove %s", o.Key)
}
