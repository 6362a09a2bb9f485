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

// accept accepts a change of the revision as the next one. If the change refers to another block map than the revision,
// the map is protected from pruning first.
func (r newestRevision) accept(ctx context.Context, s core.Store, change config.Change) (core.SettingsHead, error) {
	if err := r.writer(s).Protect(ctx, change.Settings.Blocks); err != nil {
		return core.SettingsHead{}, err
	}
	return config.Apply(ctx, s, change)
}

// acceptChecked checks the changed settings against their block map and then accepts the change. Drains and caps use accept
// without this check, so that an unreadable or inconsistent map never blocks a drain.
func (r newestRevision) acceptChecked(ctx context.Context, s core.Store, change config.Change) (core.SettingsHead, error) {
	if err := blocks.CheckZones(ctx, s, &r.settings, &change.Settings); err != nil {
		return core.SettingsHead{}, err
	}
	return r.accept(ctx, s, change)
}

// writer returns a writer of block maps for a change of the revision.
func (r newestRevision) writer(s core.Store) *blocks.Writer {
	return &blocks.Writer{Base: r.settings.Blocks, HeadVersion: r.version, Store: s}
}
