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
	// tickInterval is the time between two checks for work: joining, objects without owners, advice.
	tickInterval = 500 * time.Millisecond
	// rankDelay is the difference between the waits of two successive ready members, in name order, before they write
	// an assignment.
	rankDelay = time.Second
	// pollInterval is the mean time between two reads of an unchanged document; 690 hosts make 69 reads/s.
	pollInterval = 10 * time.Second
)

// HandleChange applies a core.LeaseChange; it is the handler of core.TopicLeaseChange.
func (d *Documents) HandleChange(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var change core.LeaseChange
	if err := wire.Decode(payload, &change); err != nil {
		return nil, err
	}
	return wire.Encode(d.Change(ctx, change))
}

// HandleConfirm replies to a core.LeaseRenew from the store; it is the handler of core.TopicLeaseConfirm.
func (d *Documents) HandleConfirm(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var renew core.LeaseRenew
	if err := wire.Decode(payload, &renew); err != nil {
		return nil, err
	}
	return wire.Encode(d.Confirm(ctx, renew))
}

// HandleRevoke applies a core.MemberRevoke; it is the handler of core.TopicMemberRevoke.
func (d *Documents) HandleRevoke(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var revoke core.MemberRevoke
	if err := wire.Decode(payload, &revoke); err != nil {
		return nil, err
	}
	return wire.Encode(d.Revoke(ctx, revoke))
}

// Run joins, reconciles, advises and polls the store until ctx ends.
func (d *Documents) Run(ctx context.Context) {
	ticks := d.timer.Subscribe(tickInterval)
	defer ticks.Stop()
	nextPoll := d.timer.Now()
	for {
		if now := d.timer.Now(); !now.Before(nextPoll) {
			nextPoll = now.Add(pollInterval/2 + mathrand.N(pollInterval))
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

// SetLocalIncarnation sets the incarnation of the local entry process that should be a member, or "" if none should
// join. Its registration must be in the store.
func (d *Documents) SetLocalIncarnation(incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.localIncarnation = incarnation
}

// Tick does the pending work: it joins, reconciles and advises. If the last check found no work and its inputs are
// unchanged, it only joins.
func (d *Documents) Tick(ctx context.Context) {
	current := d.inputs()
	if d.idle && current.same(d.lastInputs) {
		d.joinIfNeeded(ctx)
		return
	}
	d.trackHealth()
	// The check below takes into account hosts that have just become lost.
	current.lostHosts = d.inputs().lostHosts
	d.joinIfNeeded(ctx)
	d.idle = d.reconcileAndAdvise(ctx)
	d.lastInputs = current
}

// reconcileAndAdvise assigns objects, removes members and sends advice, and reports whether there was nothing to do.
func (d *Documents) reconcileAndAdvise(ctx context.Context) bool {
	document, known := d.Current()
	if !known {
		return false
	}
	snapshot := d.settings.Current()
	objects := Objects(snapshot, d.region)
	needed := d.needsAssignment(document, objects)
	if needed && d.isTurn(document, snapshot) {
		if err := d.Reconcile(ctx); err != nil {
			event.LeaseWriteFailed.Write(d.log, zap.String("reason", "reconcile"), zap.Error(err))
		}
	}
	toEvict := d.membersToEvict(document, snapshot)
	if len(toEvict) > 0 {
		if reply := d.Evict(ctx, toEvict...); reply.Outcome != core.LeaseApplied {
			event.LeaseWriteFailed.Write(d.log, zap.String("reason", "evict"), zap.Strings("hosts", toEvict), zap.String("error", reply.Reason))
		}
	}
	document, grantors := d.adviseGrantors(ctx, document)
	advice := Advise(document, d.host, objects, d.zones())
	advice.Grantors = grantors
	if len(grantors) > 0 || len(advice.Release) > 0 {
		d.onAdvice(advice)
		return false
	}
	return !needed && len(toEvict) == 0
}

// isTurn reports whether this member should write now: the same need has existed for rankDelay times its rank among the
// ready members. Usually only the first ready member writes.
func (d *Documents) isTurn(document core.Ownership, snapshot *core.Snapshot) bool {
	rank := readyRank(document, d.hosts.Hosts(), d.host)
	if rank < 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	revision := snapshot.Head.Revision
	if !d.needKnown || d.needEpoch != document.Epoch || d.needRevision != revision {
		d.needKnown = true
		d.needEpoch = document.Epoch
		d.needRevision = revision
		d.needSince = now
	}
	return now.Sub(d.needSince) >= time.Duration(rank)*rankDelay
}

// needsAssignment reports whether Assign would change the document.
func (d *Documents) needsAssignment(document core.Ownership, objects []Object) bool {
	if objects == nil {
		return false
	}
	next := clone(document)
	next.Epoch++
	return Assign(&next, objects, d.zones())
}

// readyRank returns the position of host among the members known to be ready, in name order, or -1 if it is not a
// member.
func readyRank(document core.Ownership, hosts []core.Host, host string) int {
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

// membersToEvict returns the members that the settings list as gone and that are not live. It returns none unless this
// host is the first live member.
func (d *Documents) membersToEvict(document core.Ownership, snapshot *core.Snapshot) []string {
	if snapshot == nil || len(snapshot.Settings.Drains.Gone) == 0 || readyRank(document, d.liveHosts.Hosts(), d.host) != 0 {
		return nil
	}
	live := map[string]bool{d.host: true}
	for _, h := range d.liveHosts.Hosts() {
		live[h.Host] = true
	}
	var names []string
	for _, name := range snapshot.Settings.Drains.Gone {
		if _, ok := document.Members[name]; ok && !live[name] {
			names = append(names, name)
		}
	}
	return names
}
