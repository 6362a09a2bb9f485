package config

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// Content reads the settings content that head describes and checks its digest.
func Content(ctx context.Context, store core.Store, head core.SettingsHead) ([]byte, error) {
	if head.Parts < 0 || head.Parts > maxParts {
		return nil, errors.Errorf("revision %d: %d parts are not between 0 and %d", head.Revision, head.Parts, maxParts)
	}
	var content []byte
	for part := range head.Parts {
		object, err := store.Get(ctx, partKey(head, part))
		if err != nil {
			return nil, errors.Annotatef(err, "read part %d of revision %d", part, head.Revision)
		}
		content = append(content, object.Value...)
	}
	if digest := Digest(content); digest != head.Digest {
		return nil, errors.Annotatef(ErrDigestMismatch, "revision %d: got %s, want %s", head.Revision, digest, head.Digest)
	}
	return content, nil
}

// Head reads the accepted head and its store version. It returns core.ErrNotFound if there is no revision yet.
func Head(ctx context.Context, store core.Store) (core.SettingsHead, int64, error) {
	object, err := store.Get(ctx, core.KeySettingsHead)
	if err != nil {
		return core.SettingsHead{}, 0, errors.Annotate(err, "read settings head")
	}
	head, err := decodeHead(object)
	return head, object.Version, err
}

// HeadOf reads the head of an accepted revision; 0 means the newest.
func HeadOf(ctx context.Context, store core.Store, revision int64) (core.SettingsHead, error) {
	head, _, err := Head(ctx, store)
	if err != nil || revision == 0 || revision == head.Revision {
		return head, err
	}
	object, err := store.Get(ctx, acceptedKey(revision))
	if err != nil {
		return core.SettingsHead{}, errors.Annotatef(err, "read head of revision %d", revision)
	}
	return decodeHead(object)
}

// History returns the heads of at most limit revisions, newest first.
func History(ctx context.Context, store core.Store, limit int) ([]core.SettingsHead, error) {
	head, _, err := Head(ctx, store)
	if err != nil {
		return nil, err
	}
	heads := []core.SettingsHead{head}
	for revision := head.Revision - 1; revision > 0 && len(heads) < limit; revision-- {
		object, err := store.Get(ctx, acceptedKey(revision))
		if err != nil {
			return nil, errors.Annotatef(err, "read head of revision %d", revision)
		}
		old, err := decodeHead(object)
		if err != nil {
			return nil, err
		}
		heads = append(heads, old)
	}
	return heads, nil
}

// Load reads an accepted revision with its content and checks the digest; 0 means the newest.
func Load(ctx context.Context, store core.Store, revision int64) (core.SettingsUpdate, error) {
	head, err := HeadOf(ctx, store, revision)
	if err != nil {
		return core.SettingsUpdate{}, err
	}
	content, err := Content(ctx, store, head)
	return core.SettingsUpdate{Head: head, Content: content}, err
}

// Tree reads and decodes the settings tree that head describes.
func Tree(ctx context.Context, store core.Store, head core.SettingsHead) (core.Settings, error) {
	content, err := Content(ctx, store, head)
	if err != nil {
		return core.Settings{}, err
	}
	settings, err := Decode(content)
	return settings, errors.Annotatef(err, "revision %d", head.Revision)
}

func decodeHead(object core.Object) (core.SettingsHead, error) {
	var head core.SettingsHead
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return head, errors.Annotatef(err, "decode %s", object.Key)
	}
	return head, nil
}
