package blocks_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/store"
)

// deleteHook is a store that calls beforeDelete once, before the first delete.
type deleteHook struct {
	core.Store
	beforeDelete func()
}

// Delete implements core.Store.Delete.
func (h *deleteHook) Delete(ctx context.Context, key string, version int64) error {
	if h.beforeDelete != nil {
		hook := h.beforeDelete
		h.beforeDelete = nil
		hook()
	}
	return h.Store.Delete(ctx, key, version)
}

func putHead(t *testing.T, s core.Store, version int64) int64 {
	t.Helper()
	version, err := s.Put(t.Context(), core.KeySettingsHead, []byte("{}"), version)
	assert.NilError(t, err)
	return version
}

// Guards against the removal of objects of a change in progress, to which no settings revision refers yet: new objects, unused
// objects of an old map that the change has written again, and unused objects that it writes again while the pruner runs.
func TestPruneKeepsObjectsOfChangeInProgress(t *testing.T) {
	oldMap, newMap := encode(t, makeBlocks(1000)), encode(t, makeBlocks(2000))
	for name, tc := range map[string]struct {
		before, during bool
		wantKept       bool
	}{
		"unused":                      {},
		"written again":               {before: true, wantKept: true},
		"written again while pruning": {during: true, wantKept: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := store.NewMemory()
			assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), oldMap))
			head := putHead(t, s, 0)
			w := blocks.Writer{HeadVersion: head, Store: s}
			assert.NilError(t, w.Write(t.Context(), newMap))
			rewrite := func() { assert.NilError(t, w.Write(t.Context(), oldMap)) }
			if tc.before {
				rewrite()
			}
			p := blocks.Pruner{HeadVersion: head, Store: s}
			if tc.during {
				p.Store = &deleteHook{Store: s, beforeDelete: rewrite}
			}
			_, err := p.Prune(t.Context())
			assert.NilError(t, err)
			_, _, err = blocks.Read(t.Context(), s, newMap.Settings())
			assert.NilError(t, err)
			_, _, err = blocks.Read(t.Context(), s, oldMap.Settings())
			if tc.wantKept {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, core.ErrNotFound)
		})
	}
}

// Guards against the removal of objects of retained maps, also when a retained map cannot be read and when the response to a
// delete is lost.
func TestPruneKeepsRetainedMaps(t *testing.T) {
	s := store.NewMemory()
	retained, unused := encode(t, makeBlocks(1000)), encode(t, makeBlocks(2000))
	assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), retained))
	assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), unused))
	head := putHead(t, s, 0)
	missing := core.BlockSettings{Parts: 1, Version: "gone"}
	p := blocks.Pruner{HeadVersion: head, Retained: []core.BlockSettings{retained.Settings(), missing}, Store: s}
	_, err := p.Prune(t.Context())
	assert.ErrorIs(t, err, core.ErrNotFound)
	p.Retained = p.Retained[:1]
	s.SetFaults(store.Faults{LostResponses: 1})
	pruned, err := p.Prune(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, pruned.Removed, 2)
	assert.Equal(t, pruned.Kept, 2)
	_, _, err = blocks.Read(t.Context(), s, retained.Settings())
	assert.NilError(t, err)
}

// Guards against a map that is incomplete after responses to writes were lost.
func TestWriterRetriesLostResponses(t *testing.T) {
	s := store.NewMemory()
	e := encode(t, makeBlocks(1000))
	s.SetFaults(store.Faults{LostResponses: 2})
	assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), e))
	_, _, err := blocks.Read(t.Context(), s, e.Settings())
	assert.NilError(t, err)
}
