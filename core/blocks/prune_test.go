package blocks_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/store"
)

// raced runs a step just before the first delete.
type raced struct {
	core.Store
	step func()
}

// Delete implements core.Store.Delete.
func (r *raced) Delete(ctx context.Context, key string, version int64) error {
	if r.step != nil {
		step := r.step
		r.step = nil
		step()
	}
	return r.Store.Delete(ctx, key, version)
}

func putHead(t *testing.T, s core.Store, version int64) int64 {
	t.Helper()
	version, err := s.Put(t.Context(), core.KeySettingsHead, []byte("{}"), version)
	assert.NilError(t, err)
	return version
}

// Guards against a removed part that a change is about to name: one that a new change wrote after the head, one that an
// old map left and a new change uses again, and one that it writes while old objects are removed.
func TestPruneKeepsWhatAChangeWrote(t *testing.T) {
	one, two := encode(t, many(1000)), encode(t, many(2000))
	for name, tc := range map[string]struct {
		before, during bool
		kept           bool
	}{
		"unused":               {},
		"used again":           {before: true, kept: true},
		"used again meanwhile": {during: true, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := store.NewMemory()
			assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), one))
			head := putHead(t, s, 0)
			w := blocks.Writer{HeadVersion: head, Store: s}
			assert.NilError(t, w.Write(t.Context(), two))
			again := func() { assert.NilError(t, w.Write(t.Context(), one)) }
			if tc.before {
				again()
			}
			p := blocks.Pruner{HeadVersion: head, Store: s}
			if tc.during {
				p.Store = &raced{Store: s, step: again}
			}
			_, err := p.Prune(t.Context())
			assert.NilError(t, err)
			_, _, err = blocks.Read(t.Context(), s, two.Settings())
			assert.NilError(t, err)
			_, _, err = blocks.Read(t.Context(), s, one.Settings())
			if tc.kept {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, core.ErrNotFound)
		})
	}
}

// Guards against removed objects of retained maps, and against removals while a retained map cannot be read.
func TestPruneKeepsNamedMaps(t *testing.T) {
	s := store.NewMemory()
	one, two := encode(t, many(1000)), encode(t, many(2000))
	assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), one))
	assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), two))
	head := putHead(t, s, 0)
	gone := core.BlockSettings{Parts: 1, Version: "gone"}
	p := blocks.Pruner{HeadVersion: head, Named: []core.BlockSettings{one.Settings(), gone}, Store: s}
	_, err := p.Prune(t.Context())
	assert.ErrorIs(t, err, core.ErrNotFound)
	p.Named = p.Named[:1]
	s.SetFaults(store.Faults{LostResponses: 1})
	done, err := p.Prune(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, done.Removed, 2)
	assert.Equal(t, done.Kept, 2)
	_, _, err = blocks.Read(t.Context(), s, one.Settings())
	assert.NilError(t, err)
}

// Guards against a map whose parts are lost when answers of the store are lost.
func TestWriterSettlesLostAnswers(t *testing.T) {
	s := store.NewMemory()
	e := encode(t, many(1000))
	s.SetFaults(store.Faults{LostResponses: 2})
	assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), e))
	_, _, err := blocks.Read(t.Context(), s, e.Settings())
	assert.NilError(t, err)
}
