package lookup_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/entry/lookup"
)

// putMap writes a map to the store and makes the fixture's settings refer to it.
func putMap(t testing.TB, f *fixture, s core.Store, e *blocks.Encoded) {
	t.Helper()
	assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), e))
	useMap(f, e.Settings())
}

// useMap makes the fixture's settings refer to a map.
func useMap(f *fixture, settings core.BlockSettings) {
	s := *f.snapshot
	s.Settings.Blocks = settings
	f.snapshot = &s
}

// Guards against a load that replaces the table in use although it fails, because the map is missing or damaged, and against a
// loader that does not load the next map after a failure.
func TestLoaderKeepsTableAfterFailure(t *testing.T) {
	f := newFixture(11)
	s := store.NewMemory()
	r := lookup.NewRanker(nopLog, f, f)
	assert.NilError(t, r.Refresh())
	l := lookup.NewLoader(nopLog, f, s, r)
	assert.NilError(t, l.Load(t.Context()))
	useMap(f, core.BlockSettings{Parts: 1, Version: "v1"})
	assert.ErrorIs(t, l.Load(t.Context()), core.ErrNotFound)
	putMap(t, f, s, encode(t, newSites(2, 100), []blocks.Block{block("10.0.0.0/8", 1)}))
	assert.NilError(t, l.Load(t.Context()))
	assert.Equal(t, r.Table().Len(), 1)
	_, err := s.Put(t.Context(), blocks.IndexKey("v2"), []byte("invalid"), 0)
	assert.NilError(t, err)
	useMap(f, core.BlockSettings{Parts: 1, Version: "v2"})
	err = l.Load(t.Context())
	assert.ErrorContains(t, err, `block map "v2"`)
	assert.Assert(t, errors.Is(err, blocks.ErrDamaged))
	assert.Equal(t, r.Table().Len(), 1)

	clock := timer.NewManual()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	putMap(t, f, s, encode(t, newSites(2, 100), []blocks.Block{block("10.0.0.0/8", 1), block("11.0.0.0/8", 0)}))
	go func() {
		defer close(done)
		l.Run(ctx, clock)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		clock.Advance(time.Second)
		if r.Table().Len() == 2 {
			return poll.Success()
		}
		return poll.Continue("%d blocks", r.Table().Len())
	})
	cancel()
	<-done
}

// Guards against lookups that still use a block map after a settings revision without one is in force.
func TestLoaderRemovesMap(t *testing.T) {
	f := newFixture(11)
	s := store.NewMemory()
	r := lookup.NewRanker(nopLog, f, f)
	assert.NilError(t, r.Refresh())
	l := lookup.NewLoader(nopLog, f, s, r)
	for range 2 {
		putMap(t, f, s, encode(t, newSites(2, 100), []blocks.Block{block("10.0.0.0/8", 1)}))
		assert.NilError(t, l.Load(t.Context()))
		response, err := r.Lookup("bookings", clientAt("", 1))
		assert.NilError(t, err)
		assert.Equal(t, response.Site, "site1")
		useMap(f, core.BlockSettings{})
		assert.NilError(t, l.Load(t.Context()))
		response, err = r.Lookup("bookings", clientAt("", 1))
		assert.NilError(t, err)
		assert.Equal(t, response.Site, "")
	}
}

// Guards against an incremental update whose table differs from the new map, and against a change of one block that reads
// more than the index and one part.
func TestLoaderAppliesChangedParts(t *testing.T) {
	// Enough blocks for several parts with IPv4 blocks.
	const size = 140_000
	extra := []blocks.Block{
		block("0.0.0.0/0", 3), block("1.0.0.0/8", 3), block("::/0", 3), block("2001::/16", 4), block("2001::1/128", 5),
	}
	list := append(randomBlocks(size, true), extra...)
	slices.SortFunc(list, blocks.Compare)
	sites := newSites(designSites, 100)
	initial := encode(t, sites, list)
	assert.Assert(t, len(initial.Index.Parts) > 2)
	moreSites := newSites(designSites+1, 100)
	moreSites[5].Zone = zone(3)
	for name, tc := range map[string]struct {
		sites  []blocks.Site
		change func(list []blocks.Block) []blocks.Block
		// reads is the expected number of store reads, or 0 if it is not checked.
		reads int64
	}{
		"other site": {sites, func(list []blocks.Block) []blocks.Block { list[77].Site++; return list }, 2},
		"removed":    {sites, func(list []blocks.Block) []blocks.Block { return list[1:] }, 2},
		"added": {sites, func(list []blocks.Block) []blocks.Block {
			return append(list, block("1.0.0.0/30", 1), block("1.0.0.0/9", 1))
		}, 2},
		"long removed": {sites, func(list []blocks.Block) []blocks.Block {
			return slices.DeleteFunc(list, func(b blocks.Block) bool { return b.Prefix.Bits() == 128 })
		}, 2},
		"more sites":      {moreSites, func(list []blocks.Block) []blocks.Block { list[9].Site = designSites; return list }, 2},
		"half of the map": {sites, func(list []blocks.Block) []blocks.Block { return list[:size/2] }, 0},
		"all other sites": {sites, func(list []blocks.Block) []blocks.Block {
			for i := range list {
				list[i].Site = uint8(i % designSites)
			}
			return list
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(11)
			s := store.NewMemory()
			r := lookup.NewRanker(nopLog, f, f)
			assert.NilError(t, r.Refresh())
			l := lookup.NewLoader(nopLog, f, s, r)
			putMap(t, f, s, initial)
			assert.NilError(t, l.Load(t.Context()))
			changed := slices.Clone(list)
			e := encode(t, tc.sites, tc.change(changed))
			putMap(t, f, s, e)
			before := s.Calls()[store.CallGet]
			assert.NilError(t, l.Load(t.Context()))
			gotReads := s.Calls()[store.CallGet] - before
			if tc.reads > 0 {
				assert.Equal(t, gotReads, tc.reads)
			}
			want := build(t, e)
			got := r.Table()
			assert.DeepEqual(t, got.Sites(), want.Sites())
			assertEqualTables(t, got, want)
		})
	}
}

// assertEqualTables compares the sizes, the blocks and a sample of lookups of two tables.
func assertEqualTables(t *testing.T, got, want *lookup.Table) {
	t.Helper()
	from := block("0.0.0.0/0", 0).Prefix.Addr()
	noEnd := blocks.Block{}.Prefix.Addr()
	list := want.Blocks(from, noEnd)
	assert.Assert(t, slices.Equal(got.Blocks(from, noEnd), list))
	assert.Equal(t, got.Len(), want.Len())
	for i := 0; i < len(list); i += 1 + len(list)/10_000 {
		b := list[i]
		site, ok := got.Find(b.Prefix.Addr())
		wantSite, wantOK := want.Find(b.Prefix.Addr())
		assert.Assert(t, site == wantSite && ok == wantOK, "%v: site %d, want %d", b.Prefix, site, wantSite)
	}
}
