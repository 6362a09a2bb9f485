package watch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

const (
	// PollInterval is the mean time between two reads of the store by a host that is not a relay.
	PollInterval = 10 * time.Second
	// syncedInterval is the longest time between two reads of the ownership documents while a relay keeps them up to
	// date. The five documents of 690 hosts are 450 kB together; with PollInterval each host read 60 kB/s of them, and
	// with complete reads every 5 minutes 2 kB/s. A watch from the version of the last read returns only what has
	// changed.
	syncedInterval = 5 * time.Minute
	retryDelay     = 500 * time.Millisecond
	// watchTimeout bounds a watch. A change that is missed because the connection is unresponsive is found by the next watch,
	// which uses another connection.
	watchTimeout = 5 * time.Second
)

// LoadSettings reads the content of an accepted revision from the store.
type LoadSettings func(ctx context.Context, store core.Store, revision int64) (core.SettingsUpdate, error)

// Watcher copies accepted documents from the store into a sink.
type Watcher struct {
	synced    func() bool
	lastError atomic.Pointer[string]
	lastRead  atomic.Int64
	load      LoadSettings
	log       *zap.Logger
	isRelay   func() bool
	sink      core.DocumentSink
	source    core.DocumentSource
	store     core.Store
	timer     core.Timer
}

// Config holds the dependencies of a Watcher. IsRelay reports whether this host watches the store for its availability
// zone, and SyncedWithRelay whether it has recently compared its documents with those of a relay.
type Config struct {
	SyncedWithRelay func() bool
	Load            LoadSettings
	Log             *zap.Logger
	IsRelay         func() bool
	Sink            core.DocumentSink
	Source          core.DocumentSource
	Store           core.Store
	Timer           core.Timer
}

// New returns a Watcher; it reads nothing until Run is called.
func New(config Config) *Watcher {
	return &Watcher{
		synced:  config.SyncedWithRelay,
		load:    config.Load,
		log:     config.Log,
		isRelay: config.IsRelay,
		sink:    config.Sink,
		source:  config.Source,
		store:   config.Store,
		timer:   config.Timer,
	}
}

// Available reports whether the last call on the store succeeded.
func (w *Watcher) Available() bool {
	return w.lastRead.Load() != 0 && w.lastError.Load() == nil
}

// LastError returns the error text of the last store call, or an empty string if that call succeeded.
func (w *Watcher) LastError() string {
	if text := w.lastError.Load(); text != nil {
		return *text
	}
	return ""
}

// Run reads settings and ownership documents until ctx is cancelled.
func (w *Watcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { w.loop(ctx, core.KeySettingsHead, w.readSettings) })
	group.Go(func() { w.loop(ctx, core.KeyOwnershipPrefix, w.readOwnership) })
	group.Wait()
}

// loop reads the objects under prefix until ctx is cancelled. A relay watches without a pause. Another host reads every
// PollInterval on average, and the ownership documents only every syncedInterval while it is synced with a relay.
func (w *Watcher) loop(ctx context.Context, prefix string, read func(context.Context, []core.Object) error) {
	after := int64(0)
	var readAt core.Instant
	for ctx.Err() == nil {
		synced := prefix == core.KeyOwnershipPrefix && readAt != 0 && !w.isRelay() && w.synced()
		if synced && w.timer.Now().Sub(readAt) < syncedInterval {
			w.pause(ctx, PollInterval/2+rand.N(PollInterval))
			continue
		}
		next, err := w.readChanges(ctx, prefix, after, synced, read)
		w.recordResult(prefix, err)
		wait := PollInterval/2 + rand.N(PollInterval)
		switch {
		case err != nil:
			wait = retryDelay + rand.N(retryDelay)
		case w.isRelay():
			after = next
			continue
		default:
			after = next
			readAt = w.timer.Now()
		}
		w.pause(ctx, wait)
	}
}

// pause waits for d or until ctx is cancelled.
func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.timer.After(d):
	}
}

func (w *Watcher) recordResult(prefix string, err error) {
	if err == nil {
		w.lastRead.Store(int64(w.timer.Now()))
		if w.lastError.Swap(nil) != nil {
			event.StoreAvailable.Write(w.log, zap.String("prefix", prefix))
		}
		return
	}
	text := err.Error()
	if w.lastError.Swap(&text) == nil {
		event.StoreUnavailable.Write(w.log, zap.String("prefix", prefix), zap.Error(err))
	}
}

func (w *Watcher) offer(name string, version int64, content []byte) {
	_, err := w.sink.Offer(core.Document{Content: content, Name: name, Version: version})
	if err != nil {
		// An invalid document must not block the others; its old version stays in force.
		event.DocumentInvalid.Write(w.log, zap.String("document", name), zap.Error(err))
	}
}

func (w *Watcher) readOwnership(_ context.Context, objects []core.Object) error {
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		var ownership core.Ownership
		if err := json.Unmarshal(o.Value, &ownership); err != nil {
			event.DocumentInvalid.Write(w.log, zap.String("document", o.Key), zap.Error(err))
			continue
		}
		w.offer(o.Key, ownership.Epoch, o.Value)
	}
	return nil
}

func (w *Watcher) readSettings(ctx context.Context, objects []core.Object) error {
	for _, o := range objects {
		if o.Key != core.KeySettingsHead || o.Deleted {
			continue
		}
		var head core.SettingsHead
		if err := json.Unmarshal(o.Value, &head); err != nil {
			event.DocumentInvalid.Write(w.log, zap.String("document", o.Key), zap.Error(err))
			continue
		}
		if known, ok := w.source.Document(core.DocumentSettings); ok && known.Version >= head.Revision {
			continue
		}
		update, err := w.load(ctx, w.store, head.Revision)
		if err != nil {
			return errors.Annotatef(err, "load settings revision %d", head.Revision)
		}
		content, err := wire.Encode(update)
		if err != nil {
			return errors.Trace(err)
		}
		w.offer(core.DocumentSettings, update.Head.Revision, content)
	}
	return nil
}

// readChanges reads all objects on the first call, and on every call if this host is neither a relay nor synced with
// one. Otherwise it watches for changes after the given version. It returns the version to continue from.
func (w *Watcher) readChanges(ctx context.Context, prefix string, after int64, synced bool, read func(context.Context, []core.Object) error) (int64, error) {
	if after == 0 || !w.isRelay() && !synced {
		objects, err := w.list(ctx, prefix)
		if err != nil {
			return 0, errors.Trace(err)
		}
		return highestVersion(objects), errors.Trace(read(ctx, objects))
	}
	objects, next, err := w.watch(ctx, prefix, after)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return after, nil
	}
	if err != nil {
		return after, errors.Annotatef(err, "watch %s", prefix)
	}
	return next, errors.Trace(read(ctx, objects))
}

// watch waits for a change for at most watchTimeout, because the connection may have become unresponsive.
func (w *Watcher) watch(ctx context.Context, prefix string, after int64) ([]core.Object, int64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	expired := w.timer.After(watchTimeout)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-expired:
			cancel(context.DeadlineExceeded)
		case <-stop:
		}
	}()
	objects, next, err := w.store.Watch(ctx, prefix, after)
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return nil, 0, context.DeadlineExceeded
	}
	return objects, next, err
}

func (w *Watcher) list(ctx context.Context, prefix string) ([]core.Object, error) {
	if strings.HasSuffix(prefix, "/") {
		objects, err := w.store.List(ctx, prefix)
		return objects, errors.Annotatef(err, "list %s", prefix)
	}
	object, err := w.store.Get(ctx, prefix)
	if errors.Is(err, core.ErrNotFound) {
		return nil, nil
	}
	return []core.Object{object}, errors.Annotatef(err, "get %s", prefix)
}

func highestVersion(objects []core.Object) int64 {
	version := int64(1)
	for _, o := range objects {
		version = max(version, o.Version)
	}
	return version
}
