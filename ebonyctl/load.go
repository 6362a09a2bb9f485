package main

import (
	"context"
	"os"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// load reads a revision, 0 is the newest; without any revision it returns an empty tree.
func load(ctx context.Context, s core.Store, revision int64) (core.SettingsHead, core.Settings, error) {
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

// newest reads the newest revision; without any revision it returns core.ErrNotFound.
func newest(ctx context.Context, s core.Store) (current, error) {
	head, version, err := config.Head(ctx, s)
	if errors.Is(err, core.ErrNotFound) {
		return current{}, errors.Annotate(err, "no revision was accepted yet")
	}
	if err != nil {
		return current{}, err
	}
	settings, err := config.Tree(ctx, s, head)
	return current{head: head, settings: settings, version: version}, err
}

// read decodes a settings file; its problems name the file.
func read(path string) (core.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return core.Settings{}, errors.Trace(err)
	}
	settings, err := config.Decode(content)
	return settings, errors.Annotate(err, path)
}
