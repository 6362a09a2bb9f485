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
	"ebonyrouter.dev/steer/audit"
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
	// maxUnknown is the time since a host last knew the newest state after which it waits for a relay for replyMargin only. A relay
	// that is paused when its own watch has been silent for 2.5 s would otherwise delay a change by more than 4 s.
	maxUnknown = 3200 * time.Millisecond
	// maxReplyBytes bounds the objects of a reply, which must fit into a frame of a link. A host that needs more reads the store.
	maxReplyBytes = 768 << 10
)

// Relay answers the requests of other hosts for changes from what this host has read from the store, and asks the relays of the zone.
type Relay struct {
	config   Config
	counters counters
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

// Record records a response of the store for a kind. Only a relay keeps its changes. Lists must be recorded as well: changes before a list are not
// known, and hosts that wait for them have to read the store.
func (r *Relay) Record(kind string, response *Response) {
	h := r.histories[kind]
	if h == nil {
		return
	}
	if response.CurrentAt != 0 {
		h.knownAt.Store(int64(response.CurrentAt))
	}
	if r.isRelay() {
		h.add(response)
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
	wait := r.wait(kind)
	payload, err := wire.Encode(core.StoreChangesGet{After: after, Era: era, Kind: kind, WaitMs: wait.Milliseconds()})
	if err != nil {
		return core.StoreChanges{}, errors.Trace(err)
	}
	for _, address := range relays {
		var changes core.StoreChanges
		if changes, err = r.ask(ctx, address, payload, wait); err == nil {
			known := r.config.Timer.Now().Add(-time.Duration(changes.AgeMs) * time.Millisecond)
			r.histories[kind].knownAt.Store(int64(known))
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

// wait returns the time for which a relay may hold a request for a kind.
func (r *Relay) wait(kind string) time.Duration {
	knownAt := core.Instant(r.histories[kind].knownAt.Load())
	if knownAt == 0 {
		return MaxWait
	}
	left := knownAt.Add(maxUnknown).Sub(r.config.Timer.Now()) - replyMargin
	return max(0, min(MaxWait, left))
}

// ask sends a request to one relay and rejects a reply that is older than MaxAge. The age counts up to the sending of the reply, which
// arrives replyMargin after the wait at the latest.
func (r *Relay) ask(ctx context.Context, address string, payload []byte, wait time.Duration) (core.StoreChanges, error) {
	var reply core.StoreChanges
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := r.config.Timer.After(wait + replyMargin)
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
		return reply, errors.Errorf("the relay at %s last knew the newest state %s ago", address, age)
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
	wait := min(MaxWait, time.Duration(min(get.WaitMs, MaxWait.Milliseconds()))*time.Millisecond)
	var expired <-chan core.Instant
	for waiting := true; ; {
		known, changed, found := h.since(get.After, get.Era)
		now := r.config.Timer.Now()
		age := now.Sub(known.currentAt)
		switch {
		case !found:
			return nil, errors.NotFoundf("changes of kind %q after %d", get.Kind, get.After)
		case age > r.config.MaxAge:
			return nil, errors.Errorf("the changes of kind %q are those of %s ago", get.Kind, age)
		case size(known.changes) > maxReplyBytes:
			return nil, errors.Errorf("%d changes are too large for a reply", len(known.changes))
		case len(known.changes) > 0 || !waiting:
			r.counters.served.Add(1)
			reply := core.StoreChanges{AgeMs: max(0, age).Milliseconds(), AsOf: known.asOf, Changes: known.changes}
			if r.config.Unchanged != nil {
				reply.Unchanged = r.config.Unchanged(get.Era)
			}
			return wire.Encode(reply)
		}
		if expired == nil {
			// A request is not held until the relay is no longer trusted: the other host would learn that only at the end of its wait.
			expired = r.config.Timer.After(min(wait, r.config.MaxAge-age+time.Millisecond))
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

// Role returns what this host is for the relays of its zone. A host whose relay does not answer is alone.
func (r *Relay) Role() audit.Role {
	relays := r.config.Relays()
	switch {
	case slices.Contains(relays, r.config.Self):
		return audit.Relay
	case len(relays) == 0 || r.failing.Load():
		return audit.Alone
	default:
		return audit.Member
	}
}

// isRelay reports whether this host is a relay of its zone.
func (r *Relay) isRelay() bool {
	return slices.Contains(r.config.Relays(), r.config.Self)
}
