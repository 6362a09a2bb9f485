package main

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// maxEditAttempts limits the attempts of a change that conflicts with other accepted changes.
const maxEditAttempts = 5

// edit accepts the newest settings as modified by change, which reports whether it modified them. It retries if another
// operator's change is accepted first.
func (a *app) edit(ctx context.Context, message string, change func(*core.Settings) (bool, error)) error {
	s := a.store()
	changed := false
	head, err := retryOnNewest(ctx, s, func(base newestRevision) (core.SettingsHead, error) {
		settings := base.settings
		var err error
		changed, err = change(&settings)
		if err != nil || !changed {
			return base.head, err
		}
		return base.accept(ctx, s, a.newChange(base.head.Revision, settings, message))
	})
	return a.reportChange(head, changed, err)
}

// retryOnNewest calls change with the newest revision. If another operator's change was accepted first, it calls change
// again with the revision that is the newest then, up to maxEditAttempts times in all.
func retryOnNewest(ctx context.Context, s core.Store, change func(newestRevision) (core.SettingsHead, error)) (core.SettingsHead, error) {
	var err error
	for range maxEditAttempts {
		base, loadErr := loadNewest(ctx, s)
		if loadErr != nil {
			return core.SettingsHead{}, loadErr
		}
		var head core.SettingsHead
		head, err = change(base)
		// A conflict with another base concerns the map of client blocks; retrying does not resolve it.
		var conflict *config.ConflictError
		if !errors.As(err, &conflict) || conflict.Base != base.head.Revision {
			return head, err
		}
	}
	return core.SettingsHead{}, err
}
