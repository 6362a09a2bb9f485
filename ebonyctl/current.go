package main

import (
	"context"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/config"
)

// current is the newest revision; version is the store version of its head.
type current struct {
	head     core.SettingsHead
	settings core.Settings
	version  int64
}

// accept makes a change of the revision the newest one. A block map that the change names and the revision does not is
// made safe from removal first.
func (c current) accept(ctx context.Context, s core.Store, change config.Change) (core.SettingsHead, error) {
	if err := c.writer(s).Protect(ctx, change.Settings.Blocks); err != nil {
		return core.SettingsHead{}, err
	}
	return config.Apply(ctx, s, change)
}

// acceptTree makes a tree that an operator names the newest one. It is checked against its block map first; accept does not
// do that, so that a map which cannot be read or does not fit never stops a drain.
func (c current) acceptTree(ctx context.Context, s core.Store, change config.Change) (core.SettingsHead, error) {
	if err := blocks.CheckZones(ctx, s, &c.settings, &change.Settings); err != nil {
		return core.SettingsHead{}, err
	}
	return c.accept(ctx, s, change)
}

// writer returns the writer of block maps for changes of the revision.
func (c current) writer(s core.Store) *blocks.Writer {
	return &blocks.Writer{Base: c.settings.Blocks, HeadVersion: c.version, Store: s}
}
