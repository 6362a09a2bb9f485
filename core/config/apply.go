package config

import (
	"context"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

const (
	partBytes = core.MaxObjectBytes
	maxParts  = MaxBytes / partBytes
)

// Apply writes the content of a change and then makes it the accepted revision by a conditional update of the
// head. It returns a *ProblemsError for an invalid tree, a *ConflictError if another change was accepted first,
// and an error that wraps core.ErrUncertain only if the outcome could not be determined.
func Apply(ctx context.Context, store core.Store, change Change) (core.SettingsHead, error) {
	content, err := Encode(change.Settings)
	if err != nil {
		return core.SettingsHead{}, err
	}
	a := applier{change: change, store: store}
	old, err := store.Get(ctx, core.KeySettingsHead)
	if err != nil && !errors.Is(err, core.ErrNotFound) {
		return core.SettingsHead{}, errors.Annotate(err, "read settings head")
	}
	var base core.SettingsHead
	if err == nil {
		if base, err = decodeHead(old); err != nil {
			return core.SettingsHead{}, err
		}
	}
	if base.Revision != change.Base {
		return core.SettingsHead{}, a.conflict(ctx, base)
	}
	head := core.SettingsHead{
		Author:   change.Author,
		ChangeID: uuid.NewString(),
		Digest:   Digest(content),
		Message:  change.Message,
		Parts:    (len(content) + partBytes - 1) / partBytes,
		Revision: base.Revision + 1,
		UnixMs:   change.UnixMs,
	}
	if err := a.writeContent(ctx, old, head, content); err != nil {
		return core.SettingsHead{}, err
	}
	return a.accept(ctx, head, old.Version)
}
