package relay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

const (
	// ErrNoRelay means that the host must read the store itself: it is a relay, or the zone has none.
	ErrNoRelay = errors.ConstError("no relay of the zone to ask")
	// ErrRelayFailed means that no relay could tell the changes.
	ErrRelayFailed = errors.ConstError("no relay of the zone knows the changes")
)

const (
	// MaxWait is the longest time for which a relay holds a request when there is no change. A relay that is paused is noticed
	// replyMargin after it.
	MaxWait     = time.Second
	replyMargin = 500 * time.Millisecond
	// maxReplyBytes bounds the objects of a reply, which must fit into a frame of a link. A host that needs more reads the store.
	maxReplyBytes = 768 << 10
)

// Relay answers the requests of other hosts for changes from what this host has read from the store, and asks the relays of the zone.
type Relay struct {
	config Config
	// contactAt is the core.Instant of the last response of the store, or 0.
	contactAt atomic.Int64
	counters  counters
	// failing is set from a failed request to the next successful one.
	failing   atomic.Bool
	histories map[string]*history
}

// New returns a Relay for the given kinds of objects and registers its request handler with the links.
func New(config Config, kinds ...string) *Relay {
	r := &Relay{config: config, histories: map[string]*history{}}
	for _, kind := range kinds {
		r.histories[kind] = newHistory()
	}
	config.Links.HandleRequest(core.TopicStoreChanges, r.handle)
	return r
}

// RecordContact records a response of the store.
func (r *Relay) RecordContact() {
	r.contactAt.Store(int64(r.config.Timer.Now()))
}

// RecordChanges records the changes that a response of the store brought. Only a relay keeps them.
func (r *Relay) RecordChanges(kind string, after, asOf, era int64, changes []core.StoreChange) {
	if h := r.histories[kind]; h != nil && r.isRelay() {
		h.add(after, asOf, era, changes)
	}
}

// RecordFailure records that the last call to the store for a kind has failed.
func (r *Relay) RecordFailure(kind string) {
	if h := r.histories[kind]; h != nil {
		h.fail()
	}
}

// Watch returns the changes of a kind after a revision from a relay of the zone. It waits for MaxWait at most for the first one. It
// returns ErrNoRelay or ErrRelayFailed if the host has to read the store itself.
func (r *Relay) Watch(ctx context.Context, kind string, after, era int64) (core.StoreChanges, error) {
	relays := r.config.Relays()
	if r.histories[kind] == nil || len(relays) == 0 || slices.Contains(relays, r.config.Self) {
		return core.StoreChanges{}, ErrNoRelay
	}
	payload, err := wire.Encode(core.StoreChangesGet{After: after, Era: era, Kind: kind, WaitMs: MaxWait.Milliseconds()})
	if err != nil {
		return core.StoreChanges{}, errors.Trace(err)
	}
	for _, address := range relays {
		var changes core.StoreChanges
		if changes, err = r.ask(ctx, address, payload); err == nil {
			r.counters.relayed.Add(1)
			r.failing.Store(false)
			return changes, nil
		}
		if ctx.Err() != nil {
			return core.StoreChanges{}, ctx.Err()
		}
	}
	r.counters.failed.Add(1)
	if r.failing.CompareAndSwap(false, true) {
		event.RelayFailed.Write(r.config.Log, zap.String("kind", kind), zap.Strings("relays", relays), zap.Error(err))
	}
	return core.StoreChanges{}, errors.WithType(err, ErrRelayFailed)
}

// ask sends a request to one relay. The time between its last contact with the store and the end of the request counts as the age of
// its reply.
func (r *Relay) ask(ctx context.Context, address string, payload []byte) (core.StoreChanges, error) {
	var reply core.StoreChanges
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := r.config.Timer.After(MaxWait + replyMargin)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	body, err := r.config.Links.Request(ctx, address, core.TopicStoreChanges, payload)
	if err != nil {
		return reply, errors.Annotatef(err, "ask the relay at %s", address)
	}
	if err := wire.Decode(body, &reply); err != nil {
		return reply, errors.Annotatef(err, "decode the reply of the relay at %s", address)
	}
	if age := time.Duration(reply.AgeMs) * time.Millisecond; age > r.config.MaxAge {
		return reply, errors.Errorf("the relay at %s last heard from the store %s ago", address, age)
	}
	return reply, nil
}

// handle answers the request of another host; it is a core.RequestHandler.
func (r *Relay) handle(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var get core.StoreChangesGet
	if err := wire.Decode(payload, &get); err != nil {
		return nil, errors.Trace(err)
	}
	h := r.histories[get.Kind]
	if h == nil || !r.isRelay() {
		return nil, errors.NotFoundf("a relay of kind %q", get.Kind)
	}
	expired := r.config.Timer.After(min(MaxWait, time.Duration(get.WaitMs)*time.Millisecond))
	for waiting := true; ; {
		changes, asOf, changed, known := h.since(get.After, get.Era)
		switch {
		case !known:
			return nil, errors.NotFoundf("changes of kind %q after %d", get.Kind, get.After)
		case size(changes) > maxReplyBytes:
			return nil, errors.Errorf("%d changes are too large for a reply", len(changes))
		case len(changes) > 0 || !waiting:
			r.counters.served.Add(1)
			return wire.Encode(core.StoreChanges{AgeMs: r.age().Milliseconds(), AsOf: asOf, Changes: changes})
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-expired:
			waiting = false
		}
	}
}

// Serves reports whether this host is a relay of its zone for a kind.
func (r *Relay) Serves(kind string) bool {
	return r.histories[kind] != nil && r.isRelay()
}

// age returns the time since the last response of the store, which is long if there was none.
func (r *Relay) age() time.Duration {
	return r.config.Timer.Now().Sub(core.Instant(r.contactAt.Load()))
}

// isRelay reports whether this host is a relay of its zone.
func (r *Relay) isRelay() bool {
	return slices.Contains(r.config.Relays(), r.config.Self)
}

// size returns the number of bytes of the changed objects.
func size(changes []core.StoreChange) int {
	n := 0
	for _, c := range changes {
		n += len(c.Object)
	}
	return n
}
