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

// loadSpread is the time over which the hosts spread their reads of a new block map. 690 hosts that read the 10 parts of
// an all new map at once would exceed the store's two thousand reads a second.
const loadSpread = 5 * time.Second

// loadRetry is the time between attempts to read a block map.
const loadRetry = 2 * time.Second

// maxChangedShare is the part of a map, one in so many, up to which the changed parts are applied to the table in use. The
// lists of their old and new blocks take 64 bytes for each block beside the two tables, 10 MB for a quarter of a map of the
// design size; a build reads one part at a time.
const maxChangedShare = 4

// Loader reads the client block map that the settings in force name and hands it to a Ranker.
type Loader struct {
	// index is that of the map in use.
	index    *blocks.Index
	loaded   core.BlockSettings
	log      *zap.Logger
	ranker   *Ranker
	settings core.SettingsSource
	store    core.Store
}

// NewLoader returns a loader that has read nothing.
func NewLoader(log *zap.Logger, settings core.SettingsSource, store core.Store, ranker *Ranker) *Loader {
	return &Loader{log: log, ranker: ranker, settings: settings, store: store}
}

// Load reads the block map now if the settings in force name another one than the one in use.
func (l *Loader) Load(ctx context.Context) error {
	wanted, ok := l.wanted()
	if !ok {
		return nil
	}
	t, read, err := l.read(ctx, wanted)
	if err != nil {
		return errors.Annotatef(err, "block map %q", wanted.Version)
	}
	event.LookupBlocksInUse.Write(l.log, zap.String("version", wanted.Version), zap.Int("blocks", t.Len()), zap.Int("parts_read", read))
	return nil
}

// Run loads each block map that the settings in force name, until ctx ends; only the first is loaded without a wait.
func (l *Loader) Run(ctx context.Context, timer core.Timer) {
	u := timer.Subscribe(refreshPeriod)
	defer u.Stop()
	var from core.Instant
	for {
		if _, ok := l.wanted(); ok {
			now := timer.Now()
			switch {
			case from == 0 && l.loaded.Version != "":
				from = now.Add(rand.N(loadSpread))
			case !now.Before(from):
				from = l.try(ctx, timer)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-u.C():
		}
	}
}

// try loads and returns the instant of the next attempt, or 0 after a success.
func (l *Loader) try(ctx context.Context, timer core.Timer) core.Instant {
	err := l.Load(ctx)
	if err == nil {
		return 0
	}
	event.LookupBlocksInvalid.Write(l.log, zap.Error(err))
	return timer.Now().Add(loadRetry + rand.N(loadRetry))
}

// build reads all parts of a map into a new table.
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

// read makes the map of the settings the one in use; it reads only the parts that changed if they are few.
func (l *Loader) read(ctx context.Context, wanted core.BlockSettings) (t *Table, parts int, err error) {
	if wanted.Version == "" {
		return l.use(newTable(nil), nil, wanted, 0)
	}
	index, err := blocks.ReadIndex(ctx, l.store, wanted)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	var missing []int
	if l.index != nil {
		missing = index.Missing(l.index)
	}
	if l.index == nil || len(index.Sites) < len(l.index.Sites) || len(missing) > 1+len(index.Parts)/maxChangedShare {
		parts = len(index.Parts)
		t, err = l.build(ctx, index)
	} else {
		parts = len(missing)
		t, err = l.update(ctx, index, missing)
	}
	if err != nil {
		return nil, 0, err
	}
	return l.use(t, index, wanted, parts)
}

// update returns the table in use with the blocks of the parts that changed.
func (l *Loader) update(ctx context.Context, index *blocks.Index, missing []int) (*Table, error) {
	t := l.ranker.Table()
	var old, changed []blocks.Block
	for _, i := range l.index.Missing(index) {
		old = append(old, t.Blocks(l.index.Range(i))...)
	}
	for _, i := range missing {
		r, err := blocks.ReadPart(ctx, l.store, index.Parts[i], len(index.Sites))
		if err != nil {
			return nil, errors.Annotatef(err, "part %d", i)
		}
		if n := len(changed); n > 0 {
			r.After(changed[n-1])
		}
		part, err := r.All()
		if err != nil {
			return nil, errors.Annotatef(err, "part %d", i)
		}
		changed = append(changed, part...)
	}
	return t.WithSites(index.Sites).WithChanges(old, changed), nil
}

// use makes a table the one in use; index is nil for a table without a map.
func (l *Loader) use(t *Table, index *blocks.Index, wanted core.BlockSettings, parts int) (*Table, int, error) {
	if err := l.ranker.SetTable(t); err != nil {
		return nil, 0, errors.Trace(err)
	}
	l.index = index
	l.loaded = wanted
	return t, parts, nil
}

// wanted returns the map that the settings in force name, which may be none, if it is not the one in use.
func (l *Loader) wanted() (core.BlockSettings, bool) {
	s := l.settings.Current()
	if s == nil || s.Settings.Blocks == l.loaded {
		return core.BlockSettings{}, false
	}
	return s.Settings.Blocks, true
}
