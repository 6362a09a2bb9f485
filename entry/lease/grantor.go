package lease

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

const (
	// grantorInterval is the time between two checks of all grantees.
	grantorInterval = 250 * time.Millisecond
	// pauseLimit is the time between two checks after which the process counts as paused: grantees may have asked
	// in the meantime, and their silence counts from now on.
	pauseLimit = time.Second
	// storeDownFor is the time for which the store counts as unavailable after it refused a revocation.
	storeDownFor = 5 * time.Second
)

var _ core.LeaseGrantor = (*Grantor)(nil)

// Grantor confirms the leases of the members of all regions whose ownership documents name this process.
type Grantor struct {
	holder    *Holder
	storeDown func() bool

	mu            sync.Mutex
	checkedAt     core.Instant
	checkedOnce   bool
	grantees      map[granteeKey]*grantee
	lastDownAt    core.Instant
	lastDownKnown bool
	self          core.GrantorRef
	synced        *map[string]core.Ownership
}

// NewGrantor returns the grantor that belongs to holder; storeDown reports whether the store is known to be unavailable.
func NewGrantor(holder *Holder, storeDown func() bool) *Grantor {
	return &Grantor{grantees: map[granteeKey]*grantee{}, holder: holder, storeDown: storeDown}
}

// Addresses returns the link addresses of the processes that have to learn of withdrawals of this process.
func (g *Grantor) Addresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, e := range g.grantees {
		if e.withdrawn {
			addresses = append(addresses, g.audience(e)...)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Confirm implements core.LeaseGrantor.Confirm.
func (g *Grantor) Confirm(renew core.LeaseRenew) core.LeaseReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.holder.timer.Now()
	reply := core.LeaseReply{Epoch: g.sync(now, renew.Region)}
	e, ok := g.grantees[granteeKey{host: renew.Host, region: renew.Region}]
	switch {
	case !ok || e.member.Incarnation != renew.Incarnation || e.member.GrantorsFrom != renew.GrantorsFrom:
		reply.Reason = "not a grantee of this process with this set of grantors"
	case e.withdrawn:
		reply.Reason = "withdrawn"
	default:
		e.lastHeard = now
		reply.Confirmed = true
	}
	return reply
}

// HandleRenew answers a renewal; it is the handler of core.TopicLeaseRenew.
func (g *Grantor) HandleRenew(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var renew core.LeaseRenew
	if err := wire.Decode(payload, &renew); err != nil {
		return nil, err
	}
	return wire.Encode(g.Confirm(renew))
}

// HandleWithdrawn notes the withdrawal of another grantor, or tells the steer of one from the own set; it is the
// handler of core.TopicLeaseWithdrawn.
func (g *Grantor) HandleWithdrawn(peer string, payload []byte) {
	var w core.LeaseWithdrawn
	if err := wire.Decode(payload, &w); err != nil {
		event.DocumentInvalid.Write(g.holder.log, zap.String("peer", peer), zap.Error(err))
		return
	}
	if w.Host == g.holder.name && w.Region == g.holder.region {
		_ = g.holder.links.Send(g.holder.steer, core.TopicLeaseWithdrawn, payload)
		return
	}
	g.Withdrawn(w)
}

// Run checks the grantees and asks for revocations until ctx ends.
func (g *Grantor) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() {
		every(ctx, g.holder.timer, grantorInterval, func(context.Context) { g.tell(g.check()) })
	})
	tasks.Go(func() { every(ctx, g.holder.timer, grantorInterval, g.revoke) })
	tasks.Wait()
}

// Withdrawn notes the withdrawal of another grantor of a grantee's present set.
func (g *Grantor) Withdrawn(w core.LeaseWithdrawn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(g.holder.timer.Now(), w.Region)
	e, ok := g.grantees[granteeKey{host: w.Host, region: w.Region}]
	if !ok || e.member.Incarnation != w.Incarnation || e.member.GrantorsFrom != w.GrantorsFrom {
		return
	}
	if w.Grantor != g.self && slices.Contains(e.member.Grantors, w.Grantor) {
		e.withdrawals[w.Grantor] = true
	}
}

// audience returns the link addresses of the member and of its other grantors.
func (g *Grantor) audience(e *grantee) []string {
	var addresses []string
	for _, ref := range e.member.Grantors {
		if host, ok := g.holder.registered(ref); ok && ref != g.self {
			addresses = append(addresses, host.LinkAddress)
		}
	}
	if host, ok := g.holder.index.find(g.holder.hosts, e.member.Host); ok {
		addresses = append(addresses, host.LinkAddress)
	}
	return addresses
}

// check withdraws from silent or replaced grantees and returns the withdrawals to tell, with their receivers.
func (g *Grantor) check() []notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.holder.timer.Now()
	g.sync(now, "")
	if !g.checkedOnce || now.Sub(g.checkedAt) > pauseLimit {
		g.hearAll(now)
	}
	g.checkedOnce = true
	g.checkedAt = now
	down := g.down(now)
	var notices []notice
	for key, e := range g.grantees {
		if host, found := g.holder.index.find(g.holder.hosts, key.host); found {
			e.observe(host.Incarnation)
		}
		if !e.withdrawn && !down && e.shouldWithdraw(now) {
			e.withdrawn = true
			e.withdrawals[g.self] = true
			event.LeaseWithdrawn.Write(g.holder.log, zap.String("host", e.member.Host), zap.String("incarnation", e.member.Incarnation),
				zap.Duration("silence", e.silence(now)), zap.Bool("replaced", e.replaced))
		}
		if e.withdrawn {
			notices = append(notices, notice{addresses: g.audience(e), message: g.withdrawal(e)})
		}
	}
	return notices
}

// down reports whether the store is known to be unavailable.
func (g *Grantor) down(now core.Instant) bool {
	return g.storeDown() || g.lastDownKnown && now.Sub(g.lastDownAt) < storeDownFor
}

// hearAll restarts the count of silence for all grantees.
func (g *Grantor) hearAll(now core.Instant) {
	for _, e := range g.grantees {
		e.lastHeard = now
	}
}

// resolve notes whether the store refused a revocation.
func (g *Grantor) resolve(reply core.LeaseChangeReply) {
	if !reply.StoreDown {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastDownAt = g.holder.timer.Now()
	g.lastDownKnown = true
}

// revocations returns the requests to remove the grantees from which enough grantors have withdrawn.
func (g *Grantor) revocations() []core.MemberRevoke {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.holder.timer.Now()
	g.sync(now, "")
	if g.down(now) {
		return nil
	}
	var revokes []core.MemberRevoke
	for _, e := range g.grantees {
		if r, ok := e.revocation(); ok {
			revokes = append(revokes, r)
		}
	}
	return revokes
}

// revoke asks the steer for the revocations that are due.
func (g *Grantor) revoke(ctx context.Context) {
	for _, r := range g.revocations() {
		g.revokeOne(ctx, r)
	}
}

func (g *Grantor) revokeOne(ctx context.Context, r core.MemberRevoke) {
	ctx, cancel := limited(ctx, g.holder.timer, changeTimeout)
	defer cancel()
	var reply core.LeaseChangeReply
	if request(ctx, g.holder.links, g.holder.steer, core.TopicMemberRevoke, r, &reply) == nil {
		g.resolve(reply)
	}
}

// sync brings the grantees in line with the newest documents and returns the epoch of the region's document. What is
// forgotten cannot return: the epochs of a region's document only grow, and each set is written at an epoch of its own.
func (g *Grantor) sync(now core.Instant, region string) int64 {
	documents := g.holder.documents.Load()
	self := core.GrantorRef{Host: g.holder.name, Incarnation: g.holder.Incarnation()}
	if documents == g.synced && self == g.self {
		return (*documents)[region].Epoch
	}
	next := map[granteeKey]*grantee{}
	for name, document := range *documents {
		for host, member := range document.Members {
			if !slices.Contains(member.Grantors, self) {
				continue
			}
			key := granteeKey{host: host, region: name}
			e, ok := g.grantees[key]
			if !ok || self != g.self || !e.same(member) {
				e = &grantee{lastHeard: now, member: member, region: name, withdrawals: map[core.GrantorRef]bool{}}
			}
			next[key] = e
		}
	}
	g.grantees = next
	g.self = self
	g.synced = documents
	return (*documents)[region].Epoch
}

// tell sends withdrawals to the other grantors and to the member.
func (g *Grantor) tell(notices []notice) {
	for _, n := range notices {
		payload, err := wire.Encode(n.message)
		if err != nil {
			continue
		}
		for _, address := range n.addresses {
			_ = g.holder.links.Send(address, core.TopicLeaseWithdrawn, payload)
		}
	}
}

// withdrawal returns the message that this process has withdrawn from a grantee.
func (g *Grantor) withdrawal(e *grantee) core.LeaseWithdrawn {
	return core.LeaseWithdrawn{
		Grantor:      g.self,
		GrantorsFrom: e.member.GrantorsFrom,
		Host:         e.member.Host,
		Incarnation:  e.member.Incarnation,
		Region:       e.region,
	}
}
