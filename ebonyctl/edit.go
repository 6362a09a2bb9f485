package main

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// maxEditAttempts limits how often a change is attempted while changes of other operators are accepted first.
const maxEditAttempts = 5

// edit applies change to the newest settings; change reports whether it modified them. It retries if another operator's
// change is accepted first.
func (a *app) edit(ctx context.Context, message string, change func(*core.Settings) (bool, error)) error {
	s := a.store()
	changed := false
	head, err := retryOnNewest(ctx, s, func(newest newestRevision) (core.SettingsHead, error) {
		settings := newest.settings
		var err error
		changed, err = change(&settings)
		if err != nil || !changed {
			return newest.head, err
		}
		return newest.apply(ctx, s, a.newChange(newest.head.Revision, settings, message))
	})
	return a.reportChange(head, changed, err)
}

// retryOnNewest calls change with the newest revision. Whenever another operator's change is accepted first, it reads the
// newest revision again and retries; it makes at most maxEditAttempts attempts.
func retryOnNewest(ctx context.Context, s core.Store, change func(newestRevision) (core.SettingsHead, error)) (core.SettingsHead, error) {
	var err error
	for range maxEditAttempts {
		newest, loadErr := loadNewest(ctx, s)
		if loadErr != nil {
			return core.SettingsHead{}, loadErr
		}
		var head core.SettingsHead
		head, err = change(newest)
		// A conflict with a different base revision concerns the map of client blocks; retrying does not resolve it.
		var conflict *config.ConflictError
		if !errors.As(err, &conflict) || conflict.Base != newest.head.Revision {
			return head, err
		}
	}
	return core.SettingsHead{}, err
}
