package config

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// applier writes one change to the store.
type applier struct {
	change Change
	store  core.Store
}

// accept stores head as the accepted head if the stored one still has the given version. After a lost response it uses the
// change ID to determine whether this change was accepted.
func (a *applier) accept(ctx context.Context, head core.SettingsHead, version int64) (core.SettingsHead, error) {
	content, err := json.Marshal(head)
	if err != nil {
		return core.SettingsHead{}, errors.Annotatef(err, "encode head of revision %d", head.Revision)
	}
	uncertain := false
	for range settleAttempts {
		_, err = a.store.Put(ctx, core.KeySettingsHead, content, version)
		switch {
		case err == nil:
			return head, nil
		case errors.Is(err, core.ErrUncertain):
			uncertain = true
		case errors.Is(err, core.ErrConflict):
			return a.settle(ctx, head, uncertain)
		case !uncertain:
			return core.SettingsHead{}, errors.Annotatef(err, "accept revision %d", head.Revision)
		}
		// The conditional update is repeated unchanged: if the lost one took effect, this one returns a conflict.
		pause(ctx)
	}
	return core.SettingsHead{}, unsettled(head, err)
}

// conflict returns a *ConflictError with the differences of this change and of other, which was accepted first, from the
// base revision.
func (a *applier) conflict(ctx context.Context, other core.SettingsHead) error {
	conflict := &ConflictError{Base: a.change.Base, Head: other}
	var base, theirs core.Settings
	var err error
	if a.change.Base > 0 {
		if base, err = a.tree(ctx, a.change.Base); err != nil {
			return err
		}
	}
	if other.Revision > 0 {
		if theirs, err = a.tree(ctx, other.Revision); err != nil {
			return err
		}
	}
	if conflict.Mine, err = Diff(base, a.change.Settings); err != nil {
		return err
	}
	if conflict.Theirs, err = Diff(base, theirs); err != nil {
		return err
	}
	return conflict
}

// settle determines which change was accepted as the revision of head.
func (a *applier) settle(ctx context.Context, head core.SettingsHead, uncertain bool) (core.SettingsHead, error) {
	var err error
	for range settleAttempts {
		var accepted core.SettingsHead
		accepted, err = HeadOf(ctx, a.store, head.Revision)
		if err == nil {
			if accepted.ChangeID == head.ChangeID {
				return head, nil
			}
			return core.SettingsHead{}, a.conflict(ctx, accepted)
		}
		pause(ctx)
	}
	if uncertain {
		return core.SettingsHead{}, unsettled(head, err)
	}
	return core.SettingsHead{}, errors.Annotatef(err, "another change was accepted instead of revision %d", head.Revision)
}

func (a *applier) tree(ctx context.Context, revision int64) (core.Settings, error) {
	head, err := HeadOf(ctx, a.store, revision)
	if err != nil {
		return core.Settings{}, err
	}
	return Tree(ctx, a.store, head)
}

// writeContent writes the objects that must be readable before the head is replaced: a copy of the old head and the parts
// of the new content.
func (a *applier) writeContent(ctx context.Context, old core.Object, head core.SettingsHead, content []byte) error {
	if a.change.Base > 0 {
		if err := Create(ctx, a.store, acceptedKey(a.change.Base), old.Value, 0); err != nil {
			return err
		}
	}
	for part := range head.Parts {
		end := min((part+1)*partBytes, len(content))
		if err := Create(ctx, a.store, partKey(head, part), content[part*partBytes:end], 0); err != nil {
			return err
		}
	}
	return nil
}

// unsettled returns an error that wraps core.ErrUncertain, for a change whose outcome could not be determined.
func unsettled(head core.SettingsHead, cause error) error {
	err := errors.Annotatef(cause, "outcome of revision %d is unknown; look for change %s in the history", head.Revision, head.ChangeID)
	return errors.WithType(err, core.ErrUncertain)
}
