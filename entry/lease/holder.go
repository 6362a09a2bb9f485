package lease

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

const (
	// quorumSilence is the age of the newest confirmation by enough grantors after which the store is asked.
	quorumSilence = time.Second
	// storeInterval bounds the store reads of one member whose grantors are silent or missing.
	storeInterval = time.Second
	// takeoverWait is the time after which a lease that was confirmed before a change was seen has ended.
	takeoverWait = core.LeaseTerm + core.ClockDriftMargin
)

var (
	_ core.Lease         = (*Holder)(nil)
	_ core.LeaseHolder   = (*Holder)(nil)
	_ core.OwnershipView = (*Holder)(nil)
)

// Holder keeps the lease of this entry process and the newest ownership document of each region.
type Holder struct {
	changes  func()
	deadline func(object string) time.Duration
	hosts    core.HostView
	inUse    func(object string) int
	index    hostIndex
	links    core.Links
	log      *zap.Logger
	name     string
	region   string
	rejoin   func(incarnation string)
	steer    string
	timer    core.Timer

	documents atomic.Pointer[map[string]core.Ownership]
	view      atomic.Pointer[view]

	mu sync.Mutex
	// answers is when the newest confirmed request was sent to each grantor of the present set.
	answers     map[core.GrantorRef]core.Instant
	base        string
	draining    bool
	generation  int
	incarnation string
	leaving     bool
	left        chan struct{}
	listed      bool
	member      core.Member
	// next is the set of grantors that was asked for; until that is decided, only the store confirms.
	next           []core.GrantorRef
	nextUnresolved bool
	released       map[string]int64
	owned          map[string]ownedObject
	storeAsked     core.Instant
	storeAskedOnce bool
	unresolved     bool
	validUntil     core.Instant
}

// NewHolder returns the holder of the entry process on host name; steer is the link address of its steer.
func NewHolder(name, region, incarnation, steer string, timer core.Timer, links core.Links, hosts core.HostView, options ...Option) *Holder {
	h := &Holder{
		answers:     map[core.GrantorRef]core.Instant{},
		base:        incarnation,
		changes:     func() {},
		deadline:    func(string) time.Duration { return 0 },
		hosts:       hosts,
		inUse:       func(string) int { return 0 },
		incarnation: incarnation,
		left:        make(chan struct{}),
		links:       links,
		log:         zap.NewNop(),
		name:        name,
		region:      region,
		rejoin:      func(string) {},
		released:    map[string]int64{},
		owned:       map[string]ownedObject{},
		steer:       steer,
		timer:       timer,
	}
	for _, o := range options {
		o(h)
	}
	h.documents.Store(&map[string]core.Ownership{})
	h.view.Store(&view{})
	return h
}

// Addresses returns the link addresses of the grantors of this host's member. An older incarnation's grantors are
// included, because a newer one has to learn of their withdrawals.
func (h *Holder) Addresses() []string {
	var addresses []string
	for _, ref := range (*h.documents.Load())[h.region].Members[h.name].Grantors {
		if host, ok := h.registered(ref); ok {
			addresses = append(addresses, host.LinkAddress)
		}
	}
	return addresses
}

// Advise implements core.LeaseHolder.Advise.
func (h *Holder) Advise(advice core.LeaseAdvice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed || advice.Incarnation != h.incarnation || advice.Epoch < (*h.documents.Load())[h.region].Epoch {
		return
	}
	for _, object := range advice.Release {
		if s, ok := h.owned[object]; ok {
			h.released[object] = s.since
		}
	}
	if len(advice.Grantors) > 0 && advice.GrantorsFrom == h.member.GrantorsFrom && h.next == nil && !h.draining {
		event.LeaseGrantors.Write(h.log, zap.Any("old", h.member.Grantors), zap.Any("new", advice.Grantors))
		h.next = advice.Grantors
	}
	h.publish()
}

// Drain implements core.LeaseHolder.Drain.
func (h *Holder) Drain(ctx context.Context) error {
	h.startDrain()
	select {
	case <-h.left:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain of host %q: %w", h.name, ctx.Err())
	}
}

// Incarnation implements core.LeaseHolder.Incarnation.
func (h *Holder) Incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// Owner implements core.OwnershipView.Owner.
func (h *Holder) Owner(region, object string) (core.Host, bool) {
	document, ok := (*h.documents.Load())[region]
	if !ok {
		return core.Host{}, false
	}
	owner, ok := document.Objects[object]
	if !ok {
		return core.Host{}, false
	}
	host, ok := h.index.find(h.hosts, owner.Host)
	if !ok || host.Incarnation != owner.Incarnation {
		return core.Host{}, false
	}
	return host, true
}

// Owns implements core.Lease.Owns.
func (h *Holder) Owns(object string) (core.Instant, bool) {
	v := h.view.Load()
	o, ok := v.objects[object]
	if !ok || o.releasing {
		return 0, false
	}
	now := h.timer.Now()
	if now.Before(o.usableAt) || !now.Before(v.validUntil) {
		return 0, false
	}
	return v.validUntil, true
}

// SetOwnership implements core.LeaseHolder.SetOwnership.
func (h *Holder) SetOwnership(document core.Ownership) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := *h.documents.Load()
	if old, ok := known[document.Region]; ok && document.Epoch <= old.Epoch {
		return
	}
	next := maps.Clone(known)
	next[document.Region] = document
	h.documents.Store(&next)
	if document.Region == h.region {
		h.adopt(document)
	}
}

// Stamp implements core.OwnershipView.Stamp.
func (h *Holder) Stamp(region string) core.OwnershipStamp {
	s := core.OwnershipStamp{Epoch: (*h.documents.Load())[region].Epoch}
	if hosts := h.hosts.Hosts(); len(hosts) > 0 {
		s.First, s.Count = &hosts[0], len(hosts)
	}
	return s
}

// ValidUntil implements core.Lease.ValidUntil.
func (h *Holder) ValidUntil(object string) core.Instant {
	v := h.view.Load()
	o, ok := v.objects[object]
	if !ok || h.timer.Now().Before(o.usableAt) {
		return 0
	}
	return v.validUntil
}

// adopt takes over the newest document of the own region.
func (h *Holder) adopt(document core.Ownership) {
	member, ok := document.Members[h.name]
	switch {
	case ok && member.Incarnation == h.incarnation:
		h.join(member)
	case h.listed:
		h.leave(document.Epoch)
	}
	now := h.timer.Now()
	owned := map[string]ownedObject{}
	for object, owner := range document.Objects {
		if owner.Host != h.name || owner.Incarnation != h.incarnation {
			continue
		}
		s, known := h.owned[object]
		if !known || s.since != owner.Since {
			s = h.newOwned(object, owner, now)
		}
		owned[object] = s
	}
	h.owned = owned
	maps.DeleteFunc(h.released, func(object string, since int64) bool {
		s, ok := owned[object]
		return !ok || s.since != since
	})
	if h.draining {
		h.releaseAll()
	}
	if len(h.released) == 0 {
		h.unresolved = false
	}
	h.publish()
}

// forgetGrantors drops the confirmations and the wanted change of the previous set of grantors.
func (h *Holder) forgetGrantors() {
	h.answers = map[core.GrantorRef]core.Instant{}
	h.next = nil
	h.nextUnresolved = false
}

// join notes the own entry of the document; a new set of grantors ends a change of them.
func (h *Holder) join(member core.Member) {
	if !h.listed || member.GrantorsFrom != h.member.GrantorsFrom {
		h.forgetGrantors()
	}
	if !h.listed {
		event.LeaseJoined.Write(h.log, zap.String("incarnation", h.incarnation), zap.Any("grantors", member.Grantors))
	}
	h.listed = true
	h.member = member
	h.leaving = member.Leaving
}

// leave ends the participation of this incarnation; a process that did not want to leave gets a new one.
func (h *Holder) leave(epoch int64) {
	h.listed = false
	h.member = core.Member{}
	h.validUntil = 0
	h.forgetGrantors()
	h.unresolved = false
	h.storeAskedOnce = false
	if h.draining {
		h.finishDrain()
		return
	}
	event.LeaseRevoked.Write(h.log, zap.String("incarnation", h.incarnation), zap.Int64("epoch", epoch))
	h.generation++
	h.incarnation = fmt.Sprintf("%s.%d", h.base, h.generation)
	// The callback may call the holder, whose lock is held here.
	go h.rejoin(h.incarnation)
}

// newOwned returns the record of an object that belongs to this incarnation.
func (h *Holder) newOwned(object string, owner core.ObjectOwner, now core.Instant) ownedObject {
	s := ownedObject{since: owner.Since, usableAt: now}
	if owner.Revoked {
		s.usableAt = now.Add(takeoverWait + h.deadline(object))
		event.LeaseTakeover.Write(h.log, zap.String("object", object), zap.Duration("wait", s.usableAt.Sub(now)))
	}
	return s
}

// publish makes the state visible to Owns and ValidUntil.
func (h *Holder) publish() {
	objects := make(map[string]hold, len(h.owned))
	for object, s := range h.owned {
		_, releasing := h.released[object]
		objects[object] = hold{releasing: releasing, usableAt: s.usableAt}
	}
	if old := h.view.Swap(&view{objects: objects, validUntil: h.validUntil}); !maps.Equal(old.objects, objects) {
		h.changes()
	}
}

// quorum returns when the oldest request was sent that the newest confirmation by enough grantors consists of.
func (h *Holder) quorum() (core.Instant, bool) {
	needed, _ := core.LeaseQuorum(len(h.member.Grantors))
	if needed == 0 || len(h.answers) < needed {
		return 0, false
	}
	sent := slices.Sorted(maps.Values(h.answers))
	return sent[len(sent)-needed], true
}

// registered returns the registration of a grantor's host if it still has the same incarnation.
func (h *Holder) registered(ref core.GrantorRef) (core.Host, bool) {
	host, ok := h.index.find(h.hosts, ref.Host)
	return host, ok && host.Incarnation == ref.Incarnation
}
