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
	// granteeCheckInterval is the time between two checks of all grantees.
	granteeCheckInterval = 250 * time.Millisecond
	// pauseThreshold is the time between two checks above which the process counts as paused. Renewals may have been
	// missed during the pause, so the time since the last renewal is counted from now for all grantees.
	pauseThreshold = time.Second
	// storeDownPeriod is how long the store counts as unavailable after it refused a revocation.
	storeDownPeriod = 5 * time.Second
)

var _ core.LeaseGrantor = (*Grantor)(nil)

// Grantor confirms the leases of the members of all regions whose ownership documents name this process as a grantor.
type Grantor struct {
	holder    *Holder
	storeDown func() bool

	mu            sync.Mutex
	checkedAt     core.Instant
	checked       bool // set by the first check
	grantees      map[granteeKey]*grantee
	storeFailedAt core.Instant
	storeFailed   bool
	self          core.GrantorRef
	// syncedDocuments points to the documents from which grantees was computed, for the incarnation in self.
	syncedDocuments *map[string]core.Ownership
}

// NewGrantor returns the Grantor of the process that holder belongs to; storeDown reports whether the store is known to
// be unavailable.
func NewGrantor(holder *Holder, storeDown func() bool) *Grantor {
	return &Grantor{grantees: map[granteeKey]*grantee{}, holder: holder, storeDown: storeDown}
}

// Addresses returns the link addresses of the processes to notify of withdrawals by this process.
func (g *Grantor) Addresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, e := range g.grantees {
		if e.withdrawn {
			addresses = append(addresses, g.noticeAddresses(e)...)
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
	reply := core.LeaseReply{Epoch: g.syncGrantees(now, renew.Region)}
	e, ok := g.grantees[granteeKey{host: renew.Host, region: renew.Region}]
	switch {
	case !ok || e.member.Incarnation != renew.Incarnation || e.member.GrantorsFrom != renew.GrantorsFrom:
		reply.Reason = "not a grantee of this process with this set of grantors"
	case e.withdrawn:
		reply.Reason = "withdrawn"
	default:
		e.lastRenewedAt = now
		reply.Confirmed = true
	}
	return reply
}

// HandleRenew replies to a renewal; it is the handler of core.TopicLeaseRenew.
func (g *Grantor) HandleRenew(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var renew core.LeaseRenew
	if err := wire.Decode(payload, &renew); err != nil {
		return nil, err
	}
	return wire.Encode(g.Confirm(renew))
}

// HandleWithdrawn is the handler of core.TopicLeaseWithdrawn. It records the withdrawal of another grantor from a
// grantee, or forwards a withdrawal from the local member to the steer.
func (g *Grantor) HandleWithdrawn(peer string, payload []byte) {
	var w core.LeaseWithdrawn
	if err := wire.Decode(payload, &w); err != nil {
		event.DocumentInvalid.Write(g.holder.log, zap.String("peer", peer), zap.Error(err))
		return
	}
	if w.Host == g.holder.host && w.Region == g.holder.region {
		_ = g.holder.links.Send(g.holder.steerAddress, core.TopicLeaseWithdrawn, payload)
		return
	}
	g.ObserveWithdrawal(w)
}

// Run checks the grantees, sends withdrawals and requests revocations until ctx ends.
func (g *Grantor) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() {
		runEvery(ctx, g.holder.timer, granteeCheckInterval, func(context.Context) { g.sendNotices(g.checkGrantees()) })
	})
	tasks.Go(func() { runEvery(ctx, g.holder.timer, granteeCheckInterval, g.requestRevocations) })
	tasks.Wait()
}

// ObserveWithdrawal records that another grantor has withdrawn from the current set of a grantee.
func (g *Grantor) ObserveWithdrawal(w core.LeaseWithdrawn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncGrantees(g.holder.timer.Now(), w.Region)
	e, ok := g.grantees[granteeKey{host: w.Host, region: w.Region}]
	if !ok || e.member.Incarnation != w.Incarnation || e.member.GrantorsFrom != w.GrantorsFrom {
		return
	}
	if w.Grantor != g.self && slices.Contains(e.member.Grantors, w.Grantor) {
		e.withdrawals[w.Grantor] = true
	}
}

// noticeAddresses returns the link addresses of the member's host and of its other grantors.
func (g *Grantor) noticeAddresses(e *grantee) []string {
	var addresses []string
	for _, ref := range e.member.Grantors {
		if host, ok := g.holder.registeredGrantor(ref); ok && ref != g.self {
			addresses = append(addresses, host.LinkAddress)
		}
	}
	if host, ok := g.holder.index.find(g.holder.hosts, e.member.Host); ok {
		addresses = append(addresses, host.LinkAddress)
	}
	return addresses
}

// checkGrantees withdraws from grantees that have stopped renewing or were replaced. It returns a notice for each
// withdrawal, earlier ones included.
func (g *Grantor) checkGrantees() []notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.holder.timer.Now()
	g.syncGrantees(now, "")
	if !g.checked || now.Sub(g.checkedAt) > pauseThreshold {
		g.restartRenewalTimes(now)
	}
	g.checked = true
	g.checkedAt = now
	down := g.storeUnavailable(now)
	var notices []notice
	for key, e := range g.grantees {
		if host, found := g.holder.index.find(g.holder.hosts, key.host); found {
			e.observe(host.Incarnation)
		}
		if !e.withdrawn && !down && e.shouldWithdraw(now) {
			e.withdrawn = true
			e.withdrawals[g.self] = true
			event.LeaseWithdrawn.Write(g.holder.log, zap.String("host", e.member.Host), zap.String("incarnation", e.member.Incarnation),
				zap.Duration("silence", e.sinceRenewal(now)), zap.Bool("replaced", e.replaced))
		}
		if e.withdrawn {
			notices = append(notices, notice{addresses: g.noticeAddresses(e), message: g.withdrawalMessage(e)})
		}
	}
	return notices
}

// storeUnavailable reports whether the store is known to be unavailable.
func (g *Grantor) storeUnavailable(now core.Instant) bool {
	return g.storeDown() || g.storeFailed && now.Sub(g.storeFailedAt) < storeDownPeriod
}

// restartRenewalTimes counts the time since the last renewal from now for all grantees.
func (g *Grantor) restartRenewalTimes(now core.Instant) {
	for _, e := range g.grantees {
		e.lastRenewedAt = now
	}
}

// recordRevokeReply records the time of a revocation that failed because the store was unavailable.
func (g *Grantor) recordRevokeReply(reply core.LeaseChangeReply) {
	if !reply.StoreDown {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeFailedAt = g.holder.timer.Now()
	g.storeFailed = true
}

// dueRevocations returns the requests to remove the grantees from which enough grantors have withdrawn, or none while
// the store is unavailable.
func (g *Grantor) dueRevocations() []core.MemberRevoke {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.holder.timer.Now()
	g.syncGrantees(now, "")
	if g.storeUnavailable(now) {
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

// requestRevocations sends the due revocations to the steer.
func (g *Grantor) requestRevocations(ctx context.Context) {
	for _, r := range g.dueRevocations() {
		g.requestRevocation(ctx, r)
	}
}

func (g *Grantor) requestRevocation(ctx context.Context, r core.MemberRevoke) {
	ctx, cancel := withTimeout(ctx, g.holder.timer, changeTimeout)
	defer cancel()
	var reply core.LeaseChangeReply
	if sendRequest(ctx, g.holder.links, g.holder.steerAddress, core.TopicMemberRevoke, r, &reply) == nil {
		g.recordRevokeReply(reply)
	}
}

// syncGrantees updates the grantees from the newest documents and returns the epoch of region's document. A dropped set
// of grantors cannot return: the epochs of a document only increase, and each set is written at an epoch of its own.
func (g *Grantor) syncGrantees(now core.Instant, region string) int64 {
	documents := g.holder.documents.Load()
	self := core.GrantorRef{Host: g.holder.host, Incarnation: g.holder.Incarnation()}
	if documents == g.syncedDocuments && self == g.self {
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
			if !ok || self != g.self || !e.matches(member) {
				e = &grantee{lastRenewedAt: now, member: member, region: name, withdrawals: map[core.GrantorRef]bool{}}
			}
			next[key] = e
		}
	}
	g.grantees = next
	g.self = self
	g.syncedDocuments = documents
	return (*documents)[region].Epoch
}

// sendNotices sends each withdrawal to the member and its other grantors. A lost message is sent again after the next
// check.
func (g *Grantor) sendNotices(notices []notice) {
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

// withdrawalMessage returns the message that this process has withdrawn from e.
func (g *Grantor) withdrawalMessage(e *grantee) core.LeaseWithdrawn {
	return core.LeaseWithdrawn{
		Grantor:      g.self,
		GrantorsFrom: e.member.GrantorsFrom,
		Host:         e.member.Host,
		Incarnation:  e.member.Incarnation,
		Region:       e.region,
	}
}
