package blocks

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// ErrDamaged means that the content of an object of a map does not match the digest in its key.
const ErrDamaged = errors.ConstError("content of a block map does not match its digest")

// Read reads the map that the settings refer to, with all of its parts. If they refer to none, it returns an empty map.
func Read(ctx context.Context, store core.Store, settings core.BlockSettings) (*Map, *Index, error) {
	if settings.Version == "" {
		return &Map{}, &Index{}, nil
	}
	index, err := ReadIndex(ctx, store, settings)
	if err != nil {
		return nil, nil, err
	}
	m := &Map{Sites: index.Sites}
	for i, p := range index.Parts {
		r, err := ReadPart(ctx, store, p, len(index.Sites))
		if err != nil {
			return nil, nil, errors.Annotatef(err, "part %d", i)
		}
		if n := len(m.Blocks); n > 0 {
			r.SetPrevious(m.Blocks[n-1])
		}
		blocks, err := r.ReadAll()
		if err != nil {
			return nil, nil, errors.Annotatef(err, "part %d", i)
		}
		m.Blocks = append(m.Blocks, blocks...)
	}
	return m, index, nil
}

// ReadIndex reads and validates the index of the map that the settings refer to. It returns ErrDamaged if the content does
// not match the version.
func ReadIndex(ctx context.Context, store core.Store, settings core.BlockSettings) (*Index, error) {
	object, err := store.Get(ctx, IndexKey(settings.Version))
	if err != nil {
		return nil, errors.Annotatef(err, "read index of block map %s", settings.Version)
	}
	if digest(object.Value) != settings.Version {
		return nil, errors.Annotate(ErrDamaged, object.Key)
	}
	var index Index
	if err := json.Unmarshal(object.Value, &index); err != nil {
		return nil, errors.Annotatef(err, "decode %s", object.Key)
	}
	if err := index.Validate(); err != nil {
		return nil, errors.Annotate(err, object.Key)
	}
	if len(index.Parts) != settings.Parts {
		return nil, errors.Errorf("%s: %d parts, but the settings expect %d", object.Key, len(index.Parts), settings.Parts)
	}
	return &index, nil
}

// ReadPart reads one part of a map with the given number of sites. It returns ErrDamaged if the content does not match the
// digest.
func ReadPart(ctx context.Context, store core.Store, part PartRef, sites int) (*PartReader, error) {
	object, err := store.Get(ctx, part.Key())
	if err != nil {
		return nil, errors.Annotatef(err, "read %s", part.Key())
	}
	if digest(object.Value) != part.Digest {
		return nil, errors.Annotate(ErrDamaged, object.Key)
	}
	return NewPartReader(object.Value, sites)
}
