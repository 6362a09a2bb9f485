package owner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

// lostAfter is how long a grantor may be suspected, not ready or no member before its grantees replace it.
const lostAfter = 10 * time.Second

// HandleWithdrawn records the withdrawal of a grantor of the local member; it is the handler of core.TopicLeaseWithdrawn
// for messages from the local entry process.
func (d *Documents) HandleWithdrawn(_ string, payload []byte) {
	var w core.LeaseWithdrawn
	if err := wire.Decode(payload, &w); err != nil {
		event.DocumentInvalid.Write(d.log, zap.Error(err))
		return
	}
	d.recordWithdrawal(w)
}

// adviseGrantors returns the newest document and the grantors that the local member should change to, if any. It advises
// a change only after reading the store, because the member relies on the store alone until the change is decided.
func (d *Documents) adviseGrantors(ctx context.Context, document core.Ownership) (core.Ownership, []core.GrantorRef) {
	if d.replacementGrantors(document) == nil {
		return document, nil
	}
	if err := d.Refresh(ctx); err != nil {
		return document, nil
	}
	document, _ = d.Current()
	return document, d.replacementGrantors(document)
}

// loadLocalIncarnation returns the incarnation of the local entry process that should be a member, or "".
func (d *Documents) loadLocalIncarnation() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.localIncarnation
}

// mayBeMember reports whether the newest known document of the host's region lists its incarnation; it is true if no
// document is known.
func (d *Documents) mayBeMember(h core.Host) bool {
	document, ok := d.otherRegions[h.Region]
	if h.Region == d.region {
		document, ok = d.document, d.documentKnown
	}
	return !ok || document.Members[h.Host].Incarnation == h.Incarnation
}

// recordWithdrawal records the withdrawal of a grantor from the current set of the local member.
func (d *Documents) recordWithdrawal(w core.LeaseWithdrawn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.document.Members[d.host]
	if w.Host != d.host || w.Region != d.region || w.Incarnation != m.Incarnation || w.GrantorsFrom != m.GrantorsFrom {
		return
	}
	set := grantorSet{fromEpoch: m.GrantorsFrom, incarnation: m.Incarnation}
	if d.withdrawnFrom != set {
		d.withdrawnFrom = set
		d.withdrawn = nil
	}
	if slices.Contains(m.Grantors, w.Grantor) && !slices.Contains(d.withdrawn, w.Grantor) {
		d.withdrawn = append(d.withdrawn, w.Grantor)
	}
}

// replacementGrantors returns the grantors that the local member should change to, or nil if it should keep its current
// ones.
func (d *Documents) replacementGrantors(document core.Ownership) []core.GrantorRef {
	member := document.Members[d.host]
	if local := d.loadLocalIncarnation(); local == "" || local != member.Incarnation {
		return nil
	}
	hosts := d.hosts.Hosts()
	self := d.self()
	health := d.unhealthyHosts()
	wanted := chooseGrantors(self, hosts, health)
	withdrawn := len(d.withdrawals(member)) > 0
	switch {
	case len(wanted) == 0:
		return nil
	case withdrawn, len(wanted) > len(member.Grantors):
		return wanted
	case sameSet(wanted, member.Grantors):
		return nil
	case coveredPlaces(self, wanted, hosts) > coveredPlaces(self, member.Grantors, hosts),
		anyReplacedOrLost(member.Grantors, hosts, health):
		return wanted
	}
	return nil
}

// self returns the registration of the local host, or only its name and region if it is not registered.
func (d *Documents) self() core.Host {
	for _, h := range d.hosts.Hosts() {
		if h.Host == d.host {
			return h
		}
	}
	return core.Host{Host: d.host, Region: d.region}
}

// unhealthyHosts returns the health of the hosts that are suspected, not ready or no members.
func (d *Documents) unhealthyHosts() map[string]hostHealth {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	health := make(map[string]hostHealth, len(d.unhealthySince))
	for name, since := range d.unhealthySince {
		health[name] = hostSuspected
		if now.Sub(since) >= lostAfter {
			health[name] = hostLost
		}
	}
	return health
}

// trackHealth records since when each host has been suspected, not ready or no member; it runs before each check for
// work. Membership counts because a host whose entry process has ended is removed from its region's document, while its
// steer may still be live.
func (d *Documents) trackHealth() {
	healthy := map[string]bool{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.liveHosts.Hosts() {
		healthy[h.Host] = h.State == core.HostReady && d.mayBeMember(h)
	}
	now := d.timer.Now()
	unhealthySince := map[string]core.Instant{}
	record := func(name string) {
		if healthy[name] || name == d.host {
			return
		}
		since, ok := d.unhealthySince[name]
		if !ok {
			since = now
		}
		unhealthySince[name] = since
	}
	for _, h := range d.hosts.Hosts() {
		record(h.Host)
	}
	for _, g := range d.document.Members[d.host].Grantors {
		record(g.Host)
	}
	d.unhealthySince = unhealthySince
}

// withdrawals returns the grantors that are known to have withdrawn from the current set of the local member.
func (d *Documents) withdrawals(member core.Member) []core.GrantorRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withdrawnFrom != (grantorSet{fromEpoch: member.GrantorsFrom, incarnation: member.Incarnation}) {
		return nil
	}
	return slices.Clone(d.withdrawn)
}

// anyReplacedOrLost reports whether a grantor was replaced by another incarnation or its host is lost.
func anyReplacedOrLost(grantors []core.GrantorRef, hosts []core.Host, health map[string]hostHealth) bool {
	registered := make(map[string]string, len(hosts))
	for _, h := range hosts {
		registered[h.Host] = h.Incarnation
	}
	return slices.ContainsFunc(grantors, func(g core.GrantorRef) bool {
		incarnation, ok := registered[g.Host]
		return ok && incarnation != g.Incarnation || health[g.Host] == hostLost
	})
}

// sameSet reports whether two sets contain the same grantors.
func sameSet(a, b []core.GrantorRef) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(g core.GrantorRef) bool { return !slices.Contains(b, g) })
}
