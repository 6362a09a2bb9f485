package store

import (
	"bytes"
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// Kinds of calls that Memory.Calls counts.
const (
	CallDelete = "delete"
	CallGet    = "get"
	CallList   = "list"
	CallPut    = "put"
	CallWatch  = "watch"
)

// Memory is an in-memory core.Store that can simulate faults, for tests and for the test store.
type Memory struct {
	mu    sync.Mutex
	calls map[string]int64
	// changed is closed and replaced at each change of objects or faults.
	changed chan struct{}
	faults  Faults
	// objects includes deleted objects, so that watches can report them.
	objects map[string]core.Object
	// version is the version of the last write.
	version    int64
	watchLimit time.Duration
}

var (
	_ core.ChangedGetter = (*Memory)(nil)
	_ core.Store         = (*Memory)(nil)
)

// NewMemory returns an empty store without faults.
func NewMemory(options ...MemoryOption) *Memory {
	m := &Memory{
		calls:      map[string]int64{},
		changed:    make(chan struct{}),
		objects:    map[string]core.Object{},
		watchLimit: WatchLimit,
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Calls returns the number of calls by kind since the creation of the store, including rejected ones.
func (m *Memory) Calls() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.calls)
}

// Delete implements core.Store.Delete.
func (m *Memory) Delete(ctx context.Context, key string, version int64) error {
	if err := m.begin(ctx, CallDelete); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.objects[key]
	switch {
	case m.faults.Outage:
		return errors.Annotatef(core.ErrUnavailable, "delete %s", key)
	case !found || o.Deleted:
		return errors.Annotatef(core.ErrNotFound, "delete %s", key)
	case o.Version != version:
		return errors.Annotatef(core.ErrConflict, "delete %s: version %d, not %d", key, o.Version, version)
	}
	m.write(core.Object{Key: key, Deleted: true})
	return m.loseResponse("delete", key)
}

// Faults returns the active faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Get implements core.Store.Get.
func (m *Memory) Get(ctx context.Context, key string) (core.Object, error) {
	if err := m.begin(ctx, CallGet); err != nil {
		return core.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return core.Object{}, errors.Annotatef(core.ErrUnavailable, "get %s", key)
	}
	o, found := m.objects[key]
	if !found || o.Deleted {
		return core.Object{}, errors.Annotatef(core.ErrNotFound, "get %s", key)
	}
	return clone(o), nil
}

// GetChanged implements core.ChangedGetter.GetChanged.
func (m *Memory) GetChanged(ctx context.Context, key string, version int64) (core.Object, error) {
	o, err := m.Get(ctx, key)
	if err == nil && o.Version == version {
		return core.Object{}, errors.Annotatef(core.ErrUnchanged, "get %s", key)
	}
	return o, err
}

// List implements core.Store.List.
func (m *Memory) List(ctx context.Context, prefix string) ([]core.Object, error) {
	if err := m.begin(ctx, CallList); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return nil, errors.Annotatef(core.ErrUnavailable, "list %s", prefix)
	}
	return m.objectsUnder(prefix, 0, false), nil
}

// Put implements core.Store.Put.
func (m *Memory) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if err := m.begin(ctx, CallPut); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var current int64
	if o, found := m.objects[key]; found && !o.Deleted {
		current = o.Version
	}
	switch {
	case m.faults.Outage:
		return 0, errors.Annotatef(core.ErrUnavailable, "put %s", key)
	case len(value) > core.MaxObjectBytes:
		return 0, errors.Annotatef(core.ErrTooLarge, "put %s with %d bytes", key, len(value))
	case current != version:
		return 0, errors.Annotatef(core.ErrConflict, "put %s: version %d, not %d", key, current, version)
	}
	m.write(core.Object{Key: key, Value: bytes.Clone(value)})
	if err := m.loseResponse("put", key); err != nil {
		return 0, err
	}
	return m.version, nil
}

// SetFaults replaces the active faults and wakes waiting watches.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
	m.wakeWatches()
}

// Watch implements core.Store.Watch.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64) ([]core.Object, int64, error) {
	if err := m.begin(ctx, CallWatch); err != nil {
		return nil, after, err
	}
	watchCtx, cancel := context.WithTimeout(ctx, m.watchLimit)
	defer cancel()
	for {
		m.mu.Lock()
		changed, outage := m.changed, m.faults.Outage
		objects, version := m.objectsUnder(prefix, after, true), max(m.version, after)
		m.mu.Unlock()
		if outage {
			return nil, after, errors.Annotatef(core.ErrUnavailable, "watch %s", prefix)
		}
		if len(objects) > 0 {
			return objects, version, nil
		}
		select {
		case <-changed:
		case <-watchCtx.Done():
			if ctx.Err() != nil {
				return nil, after, cancelledError(ctx, CallWatch)
			}
			return nil, version, nil
		}
	}
}

// begin counts a call, rejects it during an outage and applies the delay of Faults.SlowMs.
func (m *Memory) begin(ctx context.Context, kind string) error {
	m.mu.Lock()
	m.calls[kind]++
	faults := m.faults
	m.mu.Unlock()
	if faults.Outage {
		return errors.Annotatef(core.ErrUnavailable, "%s", kind)
	}
	if faults.SlowMs > 0 {
		delay, cancel := context.WithTimeout(ctx, time.Duration(faults.SlowMs)*time.Millisecond)
		<-delay.Done()
		cancel()
	}
	if ctx.Err() != nil {
		return cancelledError(ctx, kind)
	}
	return nil
}

// objectsUnder returns the objects under prefix whose version is higher than after, sorted by key.
func (m *Memory) objectsUnder(prefix string, after int64, includeDeleted bool) []core.Object {
	var objects []core.Object
	for key, o := range m.objects {
		if o.Version > after && strings.HasPrefix(key, prefix) && (includeDeleted || !o.Deleted) {
			objects = append(objects, clone(o))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects
}

// loseResponse returns core.ErrUncertain for a write that took effect if the faults simulate the loss of its response.
func (m *Memory) loseResponse(kind, key string) error {
	if m.faults.LostResponses == 0 {
		return nil
	}
	if m.faults.LostResponses > 0 {
		m.faults.LostResponses--
	}
	return errors.Annotatef(core.ErrUncertain, "%s %s", kind, key)
}

func (m *Memory) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) write(o core.Object) {
	m.version++
	o.Version = m.version
	m.objects[o.Key] = o
	m.wakeWatches()
}

// cancelledError returns the error of a call whose context ended before the call was complete.
func cancelledError(ctx context.Context, kind string) error {
	return errors.WithType(errors.Annotatef(ctx.Err(), "%s: %s", core.ErrUnavailable, kind), core.ErrUnavailable)
}

func clone(o core.Object) core.Object {
	o.Value = bytes.Clone(o.Value)
	return o
}
