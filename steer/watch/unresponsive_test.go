package watch_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/watch"
)

// unresponsiveStore blocks the first watch of each prefix until its context is cancelled, as if the connection had
// become unresponsive.
type unresponsiveStore struct {
	*store.Memory
	mu      sync.Mutex
	watched map[string]bool
}

// Watch implements core.Store.Watch.
func (s *unresponsiveStore) Watch(ctx context.Context, prefix string, after int64) ([]core.Object, int64, error) {
	s.mu.Lock()
	unresponsive := !s.watched[prefix]
	s.watched[prefix] = true
	s.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.Memory.Watch(ctx, prefix, after)
}

// documents is a sink that stores the newest version of each document.
type documents struct {
	mu       sync.Mutex
	versions map[string]int64
}

// Document implements core.DocumentSource.Document.
func (d *documents) Document(name string) (core.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return core.Document{Name: name, Version: d.versions[name]}, d.versions[name] > 0
}

// Offer implements core.DocumentSink.Offer.
func (d *documents) Offer(document core.Document) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions[document.Name] = document.Version
	return true, nil
}

// TestUnresponsiveWatch guards against a relay that misses a change because the connection of its watch became
// unresponsive. A change must be in force everywhere within 14 s.
func TestUnresponsiveWatch(t *testing.T) {
	const limit = 14 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &unresponsiveStore{Memory: store.NewMemory(), watched: map[string]bool{}}
	clock, sink := timer.NewManual(), &documents{versions: map[string]int64{}}
	w := watch.New(watch.Config{
		Load: func(context.Context, core.Store, int64) (core.SettingsUpdate, error) {
			return core.SettingsUpdate{}, nil
		},
		Log:     zap.NewNop(),
		IsRelay: func() bool { return true },
		Sink:    sink, Source: sink, Store: s, Timer: clock,
	})
	put(t, s, 1, 0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	started, wallStarted := clock.Now(), time.Now()
	for epoch := int64(1); epoch <= 2; epoch++ {
		for {
			if d, _ := sink.Document("ownership/north"); d.Version == epoch {
				break
			}
			if clock.Pending() > 0 {
				clock.Advance(100 * time.Millisecond)
			}
			overdue := clock.Now().Sub(started) > limit || time.Since(wallStarted) > limit
			assert.Assert(t, !overdue, "epoch %d was not adopted within %v", epoch, limit)
			time.Sleep(time.Millisecond)
		}
		put(t, s, epoch+1, s.version(t))
	}
	cancel()
	<-done
}

func (s *unresponsiveStore) version(t *testing.T) int64 {
	t.Helper()
	o, err := s.Get(context.Background(), "ownership/north")
	assert.NilError(t, err)
	return o.Version
}

// put writes an ownership document with the given epoch over the given version.
func put(t *testing.T, s core.Store, epoch, version int64) {
	t.Helper()
	content, err := json.Marshal(core.Ownership{Epoch: epoch, Region: "north"})
	assert.NilError(t, err)
	_, err = s.Put(context.Background(), "ownership/north", content, version)
	assert.NilError(t, err)
}
