package owner

import (
	"context"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

const (
	// tickInterval is the time between two looks for work: joining, objects without owners, advice.
	tickInterval = 500 * time.Millisecond
	// rankDelay is the time that each live member waits longer than the one before it before it writes.
	rankDelay = time.Second
	// pollInterval is the mean time between two reads of the document without any change; 690 hosts make 69 reads/s.
	pollInterval = 10 * time.Second
)

// HandleChange answers a core.LeaseChange; it is the handler of core.TopicLeaseChange.
func (d *Documents) HandleChange(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var change core.LeaseChange
	if err := wire.Decode(payload, &change); err != nil {
		return nil, err
	}
	return wire.Encode(d.Change(ctx, change))
}

// HandleConfirm answers a core.LeaseRenew from the store; it is the handler of core.TopicLeaseConfirm.
func (d *Documents) HandleConfirm(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var renew core.LeaseRenew
	if err := wire.Decode(payload, &renew); err != nil {
		return nil, err
	}
	return wire.Encode(d.Confirm(ctx, renew))
}

// HandleRevoke answers a core.MemberRevoke; it is the handler of core.TopicMemberRevoke.
func (d *Documents) HandleRevoke(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var revoke core.MemberRevoke
	if err := wire.Decode(payload, &revoke); err != nil {
		return nil, err
	}
	return wire.Encode(d.Revoke(ctx, revoke))
}

// Run joins, reconciles, advises and polls until ctx ends.
func (d *Documents) Run(ctx context.Context) {
	ticks := d.timer.Subscribe(tickInterval)
	defer ticks.Stop()
	poll := d.timer.Now()
	for {
		if now := d.timer.Now(); !now.Before(poll) {
			poll = now.Add(pollInterval/2 + mathrand.N(pollInterval))
			if err := d.Refresh(ctx); err != nil {
				event.LeaseWriteFailed.Write(d.log, zap.String("reason", "poll"), zap.Error(err))
			}
		}
		d.Tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// SetLocal names the incarnation of the local entry process that should be a member, or "" if it should not join.
// Its registration must be in the store.
func (d *Documents) SetLocal(incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.joining = incarnation
}

// Tick does the work that is due: it joins, reconciles and advises.
func (d *Documents) Tick(ctx context.Context) {
	before := d.inputs()
	if d.idle && before.same(d.looked) {
		d.join(ctx)
		return
	}
	d.watchHosts()
	// Hosts that are gone by now are part of what this look sees.
	before.gone = d.inputs().gone
	d.join(ctx)
	d.idle = d.look(ctx)
	d.looked = before
}

// look reconciles and advises, and reports whether there was nothing to do.
func (d *Documents) look(ctx context.Context) bool {
	document, known := d.Current()
	if !known {
		return false
	}
	snapshot := d.settings.Current()
	objects := Objects(snapshot, d.region)
	needed := d.needed(document, objects)
	if needed && d.due(document, snapshot) {
		if err := d.Reconcile(ctx); err != nil {
			event.LeaseWriteFailed.Write(d.log, zap.String("reason", "reconcile"), zap.Error(err))
		}
	}
	gone := d.goneMembers(document, snapshot)
	if len(gone) > 0 {
		if reply := d.Evict(ctx, gone...); reply.Outcome != core.LeaseApplied {
			event.LeaseWriteFailed.Write(d.log, zap.String("reason", "evict"), zap.Strings("hosts", gone), zap.String("error", reply.Reason))
		}
	}
	document, grantors := d.adviseGrantors(ctx, document)
	advice := Advise(document, d.host, objects, d.zones())
	advice.Grantors = grantors
	if len(grantors) > 0 || len(advice.Release) > 0 {
		d.onAdvice(advice)
		return false
	}
	return !needed && len(gone) == 0
}

// due reports whether it is this member's turn to write a need that it has seen for some time.
func (d *Documents) due(document core.Ownership, snapshot *core.Snapshot) bool {
	rank := liveRank(document, d.hosts.Hosts(), d.host)
	if rank < 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	version := snapshot.Head.Revision
	if !d.needKnown || d.needEpoch != document.Epoch || d.needVersion != version {
		d.needKnown = true
		d.needEpoch = document.Epoch
		d.needVersion = version
		d.needAt = now
	}
	return now.Sub(d.needAt) >= time.Duration(rank)*rankDelay
}

// needed reports whether the document lacks an owner for an object, or an object of the settings.
func (d *Documents) needed(document core.Ownership, objects []Object) bool {
	if objects == nil {
		return false
	}
	next := clone(document)
	next.Epoch++
	return Assign(&next, objects, d.zones())
}

// liveRank returns the position of host among the members that are known to be ready, or -1.
func liveRank(document core.Ownership, hosts []core.Host, host string) int {
	ready := map[string]bool{host: true}
	for _, h := range hosts {
		ready[h.Host] = ready[h.Host] || h.State == core.HostReady
	}
	rank := 0
	for _, name := range memberNames(document) {
		if name == host {
			return rank
		}
		if ready[name] {
			rank++
		}
	}
	return -1
}

// memberNames returns the names of all members in order.
func memberNames(document core.Ownership) []string {
	return slices.Sorted(maps.Keys(document.Members))
}

// goneMembers returns the members that operators name as gone and that are not heard from, if it is this member's turn
// to remove them.
func (d *Documents) goneMembers(document core.Ownership, snapshot *core.Snapshot) []string {
	if snapshot == nil || len(snapshot.Settings.Drains.Gone) == 0 || liveRank(document, d.heard.Hosts(), d.host) != 0 {
		return nil
	}
	heard := map[string]bool{d.host: true}
	for _, h := range d.heard.Hosts() {
		heard[h.Host] = true
	}
	var gone []string
	for _, name := range snapshot.Settings.Drains.Gone {
		if _, ok := document.Members[name]; ok && !heard[name] {
			gone = append(gone, name)
		}
	}
	return gone
}
