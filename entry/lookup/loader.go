package lookup

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/event"
)

// maxLoadDelay is the upper limit of the random delay before a host reads a new block map. If 690 hosts read the 10 parts of
// a completely new map at once, they would exceed the 2,000 reads a second that the store handles.
const maxLoadDelay = 5 * time.Second

// retryDelay is the minimum delay before another attempt to read a block map; a random delay of up to the same length is
// added.
const retryDelay = 2 * time.Second

// changedPartsDivisor limits incremental updates. If more than 1 + (number of parts)/changedPartsDivisor parts have changed,
// the table is built again, one part at a time. In addition to the two tables, an update needs lists of the old and new
// blocks of the changed parts, which take 80 bytes per block: 13 MB for a quarter of a map of the design size.
const changedPartsDivisor = 4

// Loader reads the client block map that the settings in force refer to and passes it to a Ranker as a Table.
type Loader struct {
	// index is the index of the map in use, or nil if none is in use.
	index *blocks.Index
	// loaded refers to the map in use.
	loaded   core.BlockSettings
	log      *zap.Logger
	ranker   *Ranker
	settings core.SettingsSource
	store    core.Store
}

// NewLoader returns a loader that has not loaded a map yet.
func NewLoader(log *zap.Logger, settings core.SettingsSource, store core.Store, ranker *Ranker) *Loader {
	return &Loader{log: log, ranker: ranker, settings: settings, store: store}
}

// Load reads the block map at once if the settings in force refer to a map other than the one in use. After an error the map
// in use is kept.
func (l *Loader) Load(ctx context.Context) error {
	wanted, ok := l.pending()
	if !ok {
		return nil
	}
	t, parts, err := l.load(ctx, wanted)
	if err != nil {
		return errors.Annotatef(err, "block map %q", wanted.Version)
	}
	event.LookupBlocksInUse.Write(l.log, zap.String("version", wanted.Version), zap.Int("blocks", t.Len()), zap.Int("parts_read", parts))
	return nil
}

// Run loads each block map that the settings in force refer to until ctx is done. It loads a map at once if none is in
// use, otherwise after a random delay of up to maxLoadDelay.
func (l *Loader) Run(ctx context.Context, timer core.Timer) {
	u := timer.Subscribe(refreshInterval)
	defer u.Stop()
	// notBefore is the earliest time of the next attempt, or 0 if none is scheduled.
	var notBefore core.Instant
	for {
		if _, ok := l.pending(); ok {
			now := timer.Now()
			switch {
			case notBefore == 0 && l.loaded.Version != "":
				notBefore = now.Add(rand.N(maxLoadDelay))
			case !now.Before(notBefore):
				notBefore = l.attempt(ctx, timer)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-u.C():
		}
	}
}

// attempt calls Load. It returns the time of the next attempt if Load failed, otherwise 0.
func (l *Loader) attempt(ctx context.Context, timer core.Timer) core.Instant {
	err := l.Load(ctx)
	if err == nil {
		return 0
	}
	event.LookupBlocksInvalid.Write(l.log, zap.Error(err))
	return timer.Now().Add(retryDelay + rand.N(retryDelay))
}

// build reads all parts of a map and builds a new table.
func (l *Loader) build(ctx context.Context, index *blocks.Index) (*Table, error) {
	b := NewBuilder(index.Sites)
	for i, part := range index.Parts {
		r, err := blocks.ReadPart(ctx, l.store, part, len(index.Sites))
		if err != nil {
			return nil, errors.Annotatef(err, "part %d", i)
		}
		if err := b.Add(r); err != nil {
			return nil, errors.Annotatef(err, "part %d", i)
		}
	}
	return b.Table(), nil
}

// load reads the wanted map and puts it into use. If few parts have changed, it reads only those and applies their changes to a
// copy of the table in use. It returns the new table and the number of parts read.
func (l *Loader) load(ctx context.Context, wanted core.BlockSettings) (t *Table, parts int, err error) {
	if wanted.Version == "" {
		return l.activate(newTable(nil), nil, wanted, 0)
	}
	index, err := blocks.ReadIndex(ctx, l.store, wanted)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	var missing []int
	if l.index != nil {
		missing = index.PartsNotIn(l.index)
	}
	if l.index == nil || len(index.Sites) < len(l.index.Sites) || len(missing) > 1+len(index.Parts)/changedPartsDivisor {
		parts = len(index.Parts)
		t, err = l.build(ctx, index)
	} else {
		parts = len(missing)
		t, err = l.update(ctx, index, missing)
	}
	if err != nil {
		return nil, 0, err
	}
	return l.activate(t, index, wanted, parts)
}

// update returns a copy of the table in use in which the blocks of the changed parts are replaced. The positions in missing
// are those of the new parts in index.
func (l *Loader) update(ctx context.Context, index *blocks.Index, missing []int) (*Table, error) {
	t := l.ranker.Table()
	var old, updated []blocks.Block
	for _, i := range l.index.PartsNotIn(index) {
		old = append(old, t.Blocks(l.index.PartRange(i))...)
	}
	for _, i := range missing {
		r, err := blocks.ReadPart(ctx, l.store, index.Parts[i], len(index.Sites))
		if err != nil {
			return nil, errors.Annotatef(err, "part %d", i)
		}
		if n := len(updated); n > 0 {
			r.SetPrevious(updated[n-1])
		}
		part, err := r.ReadAll()
		if err != nil {
			return nil, errors.Annotatef(err, "part %d", i)
		}
		updated = append(updated, part...)
	}
	return t.WithSites(index.Sites).WithChanges(old, updated), nil
}

// activate puts a table into use and returns it with the number of parts read. The index is nil if the settings refer to no
// map.
func (l *Loader) activate(t *Table, index *blocks.Index, wanted core.BlockSettings, parts int) (*Table, int, error) {
	if err := l.ranker.SetTable(t); err != nil {
		return nil, 0, errors.Trace(err)
	}
	l.index = index
	l.loaded = wanted
	return t, parts, nil
}

// pending returns the map that the settings in force refer to, which may be none, and true if it is not in use yet.
func (l *Loader) pending() (core.BlockSettings, bool) {
	s := l.settings.Current()
	if s == nil || s.Settings.Blocks == l.loaded {
		return core.BlockSettings{}, false
	}
	return s.Settings.Blocks, true
}
