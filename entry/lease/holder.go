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
	// quorumStaleAfter is the age that the newest quorum of confirmations must reach before the lease is renewed
	// through the store.
	quorumStaleAfter = time.Second
	// storeRenewInterval is the minimum time between two renewals through the store, which are made while no recent
	// quorum of grantors has confirmed the lease. It is also the timeout of each.
	storeRenewInterval = time.Second
	// takeoverWait is the time after which every lease that was confirmed before a change was seen has expired.
	takeoverWait = core.LeaseTerm + core.ClockDriftMargin
)

var (
	_ core.Lease         = (*Holder)(nil)
	_ core.LeaseHolder   = (*Holder)(nil)
	_ core.OwnershipView = (*Holder)(nil)
)

// Holder maintains the lease of this entry process and keeps the newest ownership document of each region.
type Holder struct {
	onChange     func()
	maxDeadline  func(object string) time.Duration
	hosts        core.HostView
	inUse        func(object string) int
	index        hostIndex
	links        core.Links
	log          *zap.Logger
	host         string
	region       string
	onRejoin     func(incarnation string)
	steerAddress string
	timer        core.Timer

	documents atomic.Pointer[map[string]core.Ownership]
	state     atomic.Pointer[leaseState]

	mu sync.Mutex
	// confirmations maps the grantors of the current set to the send times of the newest renewals that they confirmed.
	confirmations   map[core.GrantorRef]core.Instant
	baseIncarnation string
	draining        bool
	// generation counts the revocations; incarnation is baseIncarnation, followed by the generation if it is not 0.
	generation  int
	incarnation string
	// leaving means that the newest document marks this incarnation as leaving.
	leaving bool
	// drained is closed when this incarnation is no longer a member after a drain.
	drained chan struct{}
	// isMember means that the newest document lists this incarnation.
	isMember bool
	member   core.Member
	// nextGrantors is the requested set of grantors. Until the change is decided, only the store confirms the lease.
	nextGrantors []core.GrantorRef
	// grantorsUnresolved means that a requested change to nextGrantors has taken effect or may still do so.
	grantorsUnresolved bool
	// releasing holds the objects to release, each with the epoch since which this incarnation has owned it.
	releasing map[string]int64
	owned     map[string]ownedObject
	// storeAskedAt is the time of the last renewal through the store; storeAsked means that there was one.
	storeAskedAt core.Instant
	storeAsked   bool
	// releaseUnresolved means that a requested release has taken effect or may still do so.
	releaseUnresolved bool
	validUntil        core.Instant
}

// NewHolder returns the holder of the entry process on host; steerAddress is the link address of the host's steer.
func NewHolder(
	host, region, incarnation, steerAddress string, timer core.Timer, links core.Links, hosts core.HostView, options ...Option,
) *Holder {
	h := &Holder{
		confirmations:   map[core.GrantorRef]core.Instant{},
		baseIncarnation: incarnation,
		onChange:        func() {},
		maxDeadline:     func(string) time.Duration { return 0 },
		hosts:           hosts,
		inUse:           func(string) int { return 0 },
		incarnation:     incarnation,
		drained:         make(chan struct{}),
		links:           links,
		log:             zap.NewNop(),
		host:            host,
		region:          region,
		onRejoin:        func(string) {},
		releasing:       map[string]int64{},
		owned:           map[string]ownedObject{},
		steerAddress:    steerAddress,
		timer:           timer,
	}
	for _, o := range options {
		o(h)
	}
	h.documents.Store(&map[string]core.Ownership{})
	h.state.Store(&leaseState{})
	return h
}

// Addresses returns the link addresses of the grantors of this host's member. They include the grantors of an older
// incarnation, because a newer one has to learn of their withdrawals.
func (h *Holder) Addresses() []string {
	var addresses []string
	for _, ref := range (*h.documents.Load())[h.region].Members[h.host].Grantors {
		if host, ok := h.registeredGrantor(ref); ok {
			addresses = append(addresses, host.LinkAddress)
		}
	}
	return addresses
}

// Advise implements core.LeaseHolder.Advise.
func (h *Holder) Advise(advice core.LeaseAdvice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isMember || advice.Incarnation != h.incarnation || advice.Epoch < (*h.documents.Load())[h.region].Epoch {
		return
	}
	for _, object := range advice.Release {
		if s, ok := h.owned[object]; ok {
			h.releasing[object] = s.sinceEpoch
		}
	}
	if len(advice.Grantors) > 0 && advice.GrantorsFrom == h.member.GrantorsFrom && h.nextGrantors == nil && !h.draining {
		event.LeaseGrantors.Write(h.log, zap.Any("old", h.member.Grantors), zap.Any("new", advice.Grantors))
		h.nextGrantors = advice.Grantors
	}
	h.publish()
}

// Drain implements core.LeaseHolder.Drain.
func (h *Holder) Drain(ctx context.Context) error {
	h.startDrain()
	select {
	case <-h.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain host %q: %w", h.host, ctx.Err())
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
	state := h.state.Load()
	o, ok := state.objects[object]
	if !ok || o.releasing {
		return 0, false
	}
	now := h.timer.Now()
	if now.Before(o.usableAt) || !now.Before(state.validUntil) {
		return 0, false
	}
	return state.validUntil, true
}

// SetOwnership implements core.LeaseHolder.SetOwnership.
func (h *Holder) SetOwnership(document core.Ownership) {
	h.mu.Lock()
	defer h.mu.Unlock()
	documents := *h.documents.Load()
	if old, ok := documents[document.Region]; ok && document.Epoch <= old.Epoch {
		return
	}
	next := maps.Clone(documents)
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
	state := h.state.Load()
	o, ok := state.objects[object]
	if !ok || h.timer.Now().Before(o.usableAt) {
		return 0
	}
	return state.validUntil
}

// adopt applies the newest document of the local region.
func (h *Holder) adopt(document core.Ownership) {
	member, ok := document.Members[h.host]
	switch {
	case ok && member.Incarnation == h.incarnation:
		h.recordMembership(member)
	case h.isMember:
		h.endMembership(document.Epoch)
	}
	now := h.timer.Now()
	owned := map[string]ownedObject{}
	for object, owner := range document.Objects {
		if owner.Host != h.host || owner.Incarnation != h.incarnation {
			continue
		}
		s, known := h.owned[object]
		if !known || s.sinceEpoch != owner.Since {
			s = h.newOwnedObject(object, owner, now)
		}
		owned[object] = s
	}
	h.owned = owned
	maps.DeleteFunc(h.releasing, func(object string, since int64) bool {
		s, ok := owned[object]
		return !ok || s.sinceEpoch != since
	})
	if h.draining {
		h.releaseAll()
	}
	if len(h.releasing) == 0 {
		h.releaseUnresolved = false
	}
	h.publish()
}

// resetGrantorState drops the confirmations and the requested change of the previous set of grantors.
func (h *Holder) resetGrantorState() {
	h.confirmations = map[core.GrantorRef]core.Instant{}
	h.nextGrantors = nil
	h.grantorsUnresolved = false
}

// recordMembership applies the document's entry for this incarnation. A new set of grantors ends a requested change of
// the set.
func (h *Holder) recordMembership(member core.Member) {
	if !h.isMember || member.GrantorsFrom != h.member.GrantorsFrom {
		h.resetGrantorState()
	}
	if !h.isMember {
		event.LeaseJoined.Write(h.log, zap.String("incarnation", h.incarnation), zap.Any("grantors", member.Grantors))
	}
	h.isMember = true
	h.member = member
	h.leaving = member.Leaving
}

// endMembership ends the membership of this incarnation. A process that is not draining gets a new incarnation.
func (h *Holder) endMembership(epoch int64) {
	h.isMember = false
	h.member = core.Member{}
	h.validUntil = 0
	h.resetGrantorState()
	h.releaseUnresolved = false
	h.storeAsked = false
	if h.draining {
		h.finishDrain()
		return
	}
	event.LeaseRevoked.Write(h.log, zap.String("incarnation", h.incarnation), zap.Int64("epoch", epoch))
	h.generation++
	h.incarnation = fmt.Sprintf("%s.%d", h.baseIncarnation, h.generation)
	// Run in a goroutine, because onRejoin may call the holder, whose lock is held here.
	go h.onRejoin(h.incarnation)
}

// newOwnedObject returns the record of an object that this incarnation owns. A revoked object is usable only after a
// takeover wait.
func (h *Holder) newOwnedObject(object string, owner core.ObjectOwner, now core.Instant) ownedObject {
	s := ownedObject{sinceEpoch: owner.Since, usableAt: now}
	if owner.Revoked {
		s.usableAt = now.Add(takeoverWait + h.maxDeadline(object))
		event.LeaseTakeover.Write(h.log, zap.String("object", object), zap.Duration("wait", s.usableAt.Sub(now)))
	}
	return s
}

// publish makes the state visible to Owns and ValidUntil and calls onChange if the objects differ.
func (h *Holder) publish() {
	objects := make(map[string]objectState, len(h.owned))
	for object, s := range h.owned {
		_, releasing := h.releasing[object]
		objects[object] = objectState{releasing: releasing, usableAt: s.usableAt}
	}
	if old := h.state.Swap(&leaseState{objects: objects, validUntil: h.validUntil}); !maps.Equal(old.objects, objects) {
		h.onChange()
	}
}

// quorumSentAt returns the send time of the oldest renewal in the newest quorum of confirmations, or false without a
// quorum.
func (h *Holder) quorumSentAt() (core.Instant, bool) {
	needed, _ := core.LeaseQuorum(len(h.member.Grantors))
	if needed == 0 || len(h.confirmations) < needed {
		return 0, false
	}
	sent := slices.Sorted(maps.Values(h.confirmations))
	return sent[len(sent)-needed], true
}

// registeredGrantor returns the registration of a grantor's host, or false if none has the grantor's incarnation.
func (h *Holder) registeredGrantor(ref core.GrantorRef) (core.Host, bool) {
	host, ok := h.index.find(h.hosts, ref.Host)
	return host, ok && host.Incarnation == ref.Incarnation
}
