package main

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/config"
)

// blocksChange is a block file that an operator wants to be in force in place of the map of revision base.
type blocksChange struct {
	*app
	base    int64
	encoded *blocks.Encoded
	file    *blocks.File
	path    string
}

// apply puts the map in force on top of the newest settings and reports whether it was not in force before. Another change
// of the map is a conflict; any other change of the settings is not, and the map is put on top of it.
func (c *blocksChange) apply(ctx context.Context, s core.Store) (head core.SettingsHead, changed bool, err error) {
	head, err = onNewest(ctx, s, func(base current) (core.SettingsHead, error) {
		changed = base.settings.Blocks != c.encoded.Settings()
		if !changed {
			return base.head, nil
		}
		if err := c.check(ctx, s, base); err != nil {
			return core.SettingsHead{}, err
		}
		if err := base.writer(s).Write(ctx, c.encoded); err != nil {
			return core.SettingsHead{}, err
		}
		settings := base.settings
		settings.Blocks = c.encoded.Settings()
		return config.Apply(ctx, s, c.change(base.head.Revision, settings, "blocks apply "+c.path))
	})
	return head, changed, err
}

// check returns an error if the map does not fit the settings, or if another change of the map was accepted.
func (c *blocksChange) check(ctx context.Context, s core.Store, newest current) error {
	if err := c.file.CheckZones(&newest.settings); err != nil {
		return errors.Annotate(err, c.path)
	}
	var old core.Settings
	if c.base > 0 {
		var err error
		if _, old, err = load(ctx, s, c.base); err != nil {
			return err
		}
	}
	if old.Blocks == newest.settings.Blocks {
		return nil
	}
	return c.conflict(ctx, s, old.Blocks, newest)
}

// conflict returns the error of a change that lost against the map of the newest revision.
func (c *blocksChange) conflict(ctx context.Context, s core.Store, old core.BlockSettings, newest current) error {
	base, _, err := blocks.Read(ctx, s, old)
	if err != nil {
		return errors.Annotatef(err, "revision %d", c.base)
	}
	theirs, _, err := blocks.Read(ctx, s, newest.settings.Blocks)
	if err != nil {
		return errors.Annotatef(err, "revision %d", newest.head.Revision)
	}
	return &config.ConflictError{
		Base: c.base, Head: newest.head, Mine: blocks.Diff(base, &c.file.Map), Theirs: blocks.Diff(base, theirs),
	}
}
