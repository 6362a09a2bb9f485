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

// goneAfter is the time for which a grantor may be suspected, not ready or no member before its grantees change to others.
const goneAfter = 10 * time.Second

// HandleWithdrawn notes the withdrawal of a grantor of the local member; it is the handler of
// core.TopicLeaseWithdrawn for messages of the local entry process.
func (d *Documents) HandleWithdrawn(_ string, payload []byte) {
	var w core.LeaseWithdrawn
	if err := wire.Decode(payload, &w); err != nil {
		event.DocumentInvalid.Write(d.log, zap.Error(err))
		return
	}
	d.noteWithdrawn(w)
}

// adviseGrantors returns the newest document and the grantors that the local member should change to. A change is
// advised only after a read of the store, because the member relies on the store alone until the change is decided.
func (d *Documents) adviseGrantors(ctx context.Context, document core.Ownership) (core.Ownership, []core.GrantorRef) {
	if d.regrant(document) == nil {
		return document, nil
	}
	if err := d.Refresh(ctx); err != nil {
		return document, nil
	}
	document, _ = d.Current()
	return document, d.regrant(document)
}

// local returns the incarnation of the local entry process that should be a member, or "".
func (d *Documents) local() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.joining
}

// mayBeMember reports whether the newest known document of the host's region lists its incarnation, if there is one.
func (d *Documents) mayBeMember(h core.Host) bool {
	document, ok := d.others[h.Region]
	if h.Region == d.region {
		document, ok = d.document, d.known
	}
	return !ok || document.Members[h.Host].Incarnation == h.Incarnation
}

// noteWithdrawn remembers the withdrawal of a grantor from the present set of the local member.
func (d *Documents) noteWithdrawn(w core.LeaseWithdrawn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.document.Members[d.host]
	if w.Host != d.host || w.Region != d.region || w.Incarnation != m.Incarnation || w.GrantorsFrom != m.GrantorsFrom {
		return
	}
	set := grantorSet{from: m.GrantorsFrom, incarnation: m.Incarnation}
	if d.withdrawnFrom != set {
		d.withdrawnFrom = set
		d.withdrawn = nil
	}
	if slices.Contains(m.Grantors, w.Grantor) && !slices.Contains(d.withdrawn, w.Grantor) {
		d.withdrawn = append(d.withdrawn, w.Grantor)
	}
}

// regrant returns the grantors that the local member should change to, or nil if it should keep those it has.
func (d *Documents) regrant(document core.Ownership) []core.GrantorRef {
	member := document.Members[d.host]
	if local := d.local(); local == "" || local != member.Incarnation {
		return nil
	}
	hosts := d.hosts.Hosts()
	self := d.self()
	standings := d.standings()
	wanted := chooseGrantors(self, hosts, standings)
	withdrawn := len(d.withdrawals(member)) > 0
	switch {
	case len(wanted) == 0:
		return nil
	case withdrawn, len(wanted) > len(member.Grantors):
		return wanted
	case sameSet(wanted, member.Grantors):
		return nil
	case spread(self, wanted, hosts) > spread(self, member.Grantors, hosts), anyGone(member.Grantors, hosts, standings):
		return wanted
	}
	return nil
}

// self returns the registration of the own host, or as much as is known of it.
func (d *Documents) self() core.Host {
	for _, h := range d.hosts.Hosts() {
		if h.Host == d.host {
			return h
		}
	}
	return core.Host{Host: d.host, Region: d.region}
}

// standings returns the hosts that are suspected, not ready or no members.
func (d *Documents) standings() map[string]standing {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	standings := make(map[string]standing, len(d.absent))
	for name, since := range d.absent {
		standings[name] = standingSuspected
		if now.Sub(since) >= goneAfter {
			standings[name] = standingGone
		}
	}
	return standings
}

// watchHosts notes since when each host has been suspected, not ready or no member; it is called before each look for
// work. A host whose steer is heard but whose entry process has ended is removed from its region's document.
func (d *Documents) watchHosts() {
	heard := map[string]bool{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.heard.Hosts() {
		heard[h.Host] = h.State == core.HostReady && d.mayBeMember(h)
	}
	now := d.timer.Now()
	absent := map[string]core.Instant{}
	note := func(name string) {
		if heard[name] || name == d.host {
			return
		}
		since, ok := d.absent[name]
		if !ok {
			since = now
		}
		absent[name] = since
	}
	for _, h := range d.hosts.Hosts() {
		note(h.Host)
	}
	for _, g := range d.document.Members[d.host].Grantors {
		note(g.Host)
	}
	d.absent = absent
}

// withdrawals returns the grantors that are known to have withdrawn from the present set of the local member.
func (d *Documents) withdrawals(member core.Member) []core.GrantorRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withdrawnFrom != (grantorSet{from: member.GrantorsFrom, incarnation: member.Incarnation}) {
		return nil
	}
	return slices.Clone(d.withdrawn)
}

// anyGone reports whether a grantor was replaced by another incarnation or is gone.
func anyGone(grantors []core.GrantorRef, hosts []core.Host, standings map[string]standing) bool {
	registered := make(map[string]string, len(hosts))
	for _, h := range hosts {
		registered[h.Host] = h.Incarnation
	}
	return slices.ContainsFunc(grantors, func(g core.GrantorRef) bool {
		incarnation, ok := registered[g.Host]
		return ok && incarnation != g.Incarnation || standings[g.Host] == standingGone
	})
}

// sameSet reports whether two sets name the same processes.
func sameSet(a, b []core.GrantorRef) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(g core.GrantorRef) bool { return !slices.Contains(b, g) })
}
