package blocks

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// listShards is the number of lists into which the parts are divided, by the first two digits of their digests: a list
// returns the values, and those of all parts at once exceed the memory of an answer.
const listShards = 256

// removeTries is the number of tries to remove an object when answers of the store are lost.
const removeTries = 8

// Pruner removes objects of block maps that no retained revision names and that no change can be about to name.
type Pruner struct {
	// HeadVersion is the store version of the settings head, read before Named.
	HeadVersion int64
	// Named are the maps of the retained revisions.
	Named []core.BlockSettings
	Store core.Store
}

// Pruned counts the objects and bytes that were removed, and the objects that were kept.
type Pruned struct {
	Bytes   int64
	Kept    int
	Removed int
}

// Prune removes each object that no map of Named contains and whose version is below HeadVersion. An index of Named that
// cannot be read ends it before anything is removed.
func (p *Pruner) Prune(ctx context.Context) (Pruned, error) {
	var done Pruned
	named, err := p.keys(ctx)
	if err != nil {
		return done, err
	}
	for _, prefix := range []string{keyIndexPrefix, keyPartPrefix} {
		for shard := range listShards {
			objects, err := p.Store.List(ctx, fmt.Sprintf("%s%02x", prefix, shard))
			if err != nil {
				return done, errors.Annotate(err, "list block maps")
			}
			for _, o := range objects {
				if err := p.remove(ctx, o, named[o.Key], &done); err != nil {
					return done, err
				}
			}
		}
	}
	return done, nil
}

func (p *Pruner) keys(ctx context.Context) (map[string]bool, error) {
	keys := map[string]bool{}
	for _, settings := range p.Named {
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

// remove deletes an object unless it is named or was written after the head; a lost answer is settled by trying again.
func (p *Pruner) remove(ctx context.Context, o core.Object, named bool, done *Pruned) error {
	if named || o.Version >= p.HeadVersion {
		done.Kept++
		return nil
	}
	var err error
	for range removeTries {
		err = p.Store.Delete(ctx, o.Key, o.Version)
		switch {
		case err == nil, errors.Is(err, core.ErrNotFound):
			done.Removed++
			done.Bytes += int64(len(o.Value))
			return nil
		case errors.Is(err, core.ErrConflict):
			// A change wrote it again in order to name it.
			done.Kept++
			return nil
		case !errors.Is(err, core.ErrUncertain):
			return errors.Annotatef(err, "remove %s", o.Key)
		}
	}
	return errors.Annotatef(err, "remove %s", o.Key)
}
