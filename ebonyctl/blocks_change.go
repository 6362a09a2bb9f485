package main

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/config"
)

// blocksChange replaces the block map of revision base by the map of the file at path.
type blocksChange struct {
	*app
	base    int64
	encoded *blocks.Encoded
	file    *blocks.File
	path    string
}

// apply applies the new map to the newest settings and reports whether it differs from their map. It fails with a
// config.ConflictError if another change of the map was accepted after base; other changes of the settings are kept.
func (c *blocksChange) apply(ctx context.Context, s core.Store) (head core.SettingsHead, changed bool, err error) {
	head, err = retryOnNewest(ctx, s, func(newest newestRevision) (core.SettingsHead, error) {
		changed = newest.settings.Blocks != c.encoded.Settings()
		if !changed {
			return newest.head, nil
		}
		if err := c.check(ctx, s, newest); err != nil {
			return core.SettingsHead{}, err
		}
		if err := newest.writer(s).Write(ctx, c.encoded); err != nil {
			return core.SettingsHead{}, err
		}
		settings := newest.settings
		settings.Blocks = c.encoded.Settings()
		return config.Apply(ctx, s, c.newChange(newest.head.Revision, settings, "blocks apply "+c.path))
	})
	return head, changed, err
}

// check returns an error if a site of the map is in a zone that the newest settings lack, or if another change of the map
// was accepted after base.
func (c *blocksChange) check(ctx context.Context, s core.Store, newest newestRevision) error {
	if err := c.file.CheckZones(&newest.settings); err != nil {
		return errors.Annotate(err, c.path)
	}
	var base core.Settings
	if c.base > 0 {
		var err error
		if _, base, err = loadRevision(ctx, s, c.base); err != nil {
			return err
		}
	}
	if base.Blocks == newest.settings.Blocks {
		return nil
	}
	return c.conflict(ctx, s, base.Blocks, newest)
}

// conflict returns a config.ConflictError with the differences of the new map and of the newest revision's map from the map
// of the base revision.
func (c *blocksChange) conflict(ctx context.Context, s core.Store, base core.BlockSettings, newest newestRevision) error {
	baseMap, _, err := blocks.Read(ctx, s, base)
	if err != nil {
		return errors.Annotatef(err, "revision %d", c.base)
	}
	newestMap, _, err := blocks.Read(ctx, s, newest.settings.Blocks)
	if err != nil {
		return errors.Annotatef(err, "revision %d", newest.head.Revision)
	}
	return &config.ConflictError{
		Base: c.base, Head: newest.head, Mine: blocks.Diff(baseMap, &c.file.Map), Theirs: blocks.Diff(baseMap, newestMap),
	}
}
