package main

import (
	"context"
	"os"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// loadRevision reads a revision; 0 is the newest. If revision is 0 and none was accepted yet, the head and the settings
// are empty.
func loadRevision(ctx context.Context, s core.Store, revision int64) (core.SettingsHead, core.Settings, error) {
	head, err := config.HeadOf(ctx, s, revision)
	if errors.Is(err, core.ErrNotFound) && revision == 0 {
		return core.SettingsHead{}, core.Settings{}, nil
	}
	if err != nil {
		return core.SettingsHead{}, core.Settings{}, err
	}
	settings, err := config.Tree(ctx, s, head)
	return head, settings, err
}

// loadNewest reads the newest revision. The error is core.ErrNotFound if none was accepted yet.
func loadNewest(ctx context.Context, s core.Store) (newestRevision, error) {
	head, version, err := config.Head(ctx, s)
	if errors.Is(err, core.ErrNotFound) {
		return newestRevision{}, errors.Annotate(err, "no revision was accepted yet")
	}
	if err != nil {
		return newestRevision{}, err
	}
	settings, err := config.Tree(ctx, s, head)
	return newestRevision{head: head, settings: settings, version: version}, err
}

// readSettings decodes a settings file; errors include its path.
func readSettings(path string) (core.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return core.Settings{}, errors.Trace(err)
	}
	settings, err := config.Decode(content)
	return settings, errors.Annotate(err, path)
}
