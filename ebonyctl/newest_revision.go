package main

import (
	"context"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/config"
)

// newestRevision is the newest accepted revision; version is the store version of the settings head.
type newestRevision struct {
	head     core.SettingsHead
	settings core.Settings
	version  int64
}

// apply applies a change that is based on the revision. If the change refers to a different block map, it first protects
// that map from pruning.
func (r newestRevision) apply(ctx context.Context, s core.Store, change config.Change) (core.SettingsHead, error) {
	if err := r.writer(s).Protect(ctx, change.Settings.Blocks); err != nil {
		return core.SettingsHead{}, err
	}
	return config.Apply(ctx, s, change)
}

// applyChecked checks the changed settings against their block map and then applies the change. Drains and caps use apply
// without this check, so that an unreadable or inconsistent map never blocks a drain.
func (r newestRevision) applyChecked(ctx context.Context, s core.Store, change config.Change) (core.SettingsHead, error) {
	if err := blocks.CheckZones(ctx, s, &r.settings, &change.Settings); err != nil {
		return core.SettingsHead{}, err
	}
	return r.apply(ctx, s, change)
}

// writer returns a writer of block maps for a change that is based on the revision.
func (r newestRevision) writer(s core.Store) *blocks.Writer {
	return &blocks.Writer{Base: r.settings.Blocks, HeadVersion: r.version, Store: s}
}
