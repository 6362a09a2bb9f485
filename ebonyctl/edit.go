package main

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// editTries is how often a change is repeated on a newer revision before it gives up.
const editTries = 5

// edit changes the newest settings by conditional update; change reports whether it altered the tree.
func (a *app) edit(ctx context.Context, message string, change func(*core.Settings) (bool, error)) error {
	s := a.store()
	changed := false
	head, err := onNewest(ctx, s, func(base current) (core.SettingsHead, error) {
		settings := base.settings
		var err error
		changed, err = change(&settings)
		if err != nil || !changed {
			return base.head, err
		}
		return base.accept(ctx, s, a.change(base.head.Revision, settings, message))
	})
	return a.report(head, changed, err)
}

// onNewest makes a change of the newest revision, and makes it again on top of the next one when another operator was
// first.
func onNewest(ctx context.Context, s core.Store, change func(current) (core.SettingsHead, error)) (core.SettingsHead, error) {
	var err error
	for range editTries {
		base, loadErr := newest(ctx, s)
		if loadErr != nil {
			return core.SettingsHead{}, loadErr
		}
		var head core.SettingsHead
		head, err = change(base)
		// A conflict with another base is about the map of client blocks and stays one on every later revision.
		var conflict *config.ConflictError
		if !errors.As(err, &conflict) || conflict.Base != base.head.Revision {
			return head, err
		}
	}
	return core.SettingsHead{}, err
}
