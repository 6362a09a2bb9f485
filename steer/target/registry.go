package target

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

// RecoveryGrace is the time after a store outage within which live targets write their registrations again. Until it has
// elapsed, a missing registration does not mean that its target was removed.
const RecoveryGrace = 2 * time.Second

var _ core.TargetRegistry = (*Registry)(nil)

// Registry holds the registered targets and the drained availability zones. Targets whose registrations go missing during a
// store outage are kept until RecoveryGrace has elapsed after it.
type Registry struct {
	// buried holds the registrations that had been removed when the store was restored from an older copy, which may still
	// have them. They are ignored until they are newer or buriedUntil.
	buried      map[string]core.Target
	buriedUntil core.Instant
	// changed is set when list no longer reflects drained and targets.
	changed atomic.Bool
	drained map[string]bool
	// gone holds the registrations that were removed within goneTime.
	gone map[string]goneTarget
	list atomic.Pointer[core.TargetList]
	// lostDrains holds the drained zones that the restored store lacks; they stay drained until zoneGraceEnd.
	lostDrains map[string]bool
	log        *zap.Logger
	// missing holds the targets whose registrations went missing during an outage or within RecoveryGrace of its end.
	missing map[string]bool
	mutex   sync.Mutex
	// graceEnd is the time from which a missing registration means that its target was removed.
	graceEnd  core.Instant
	storeDown bool
	targets   map[string]core.Target
	timer     core.Timer
	version   int64
	// zoneGraceEnd is the time from which a drained zone that the restored store lacks is not drained any more.
	zoneGraceEnd core.Instant
}

// goneTime is the time for which removed registrations are remembered, in case the store is restored from a copy that has them.
// Copies are some seconds old.
const goneTime = 2 * time.Minute

// goneTarget is a removed registration.
type goneTarget struct {
	core.Target
	removedAt core.Instant
}

// New returns a registry without a target list; Targets returns nil until the first change.
func New(timer core.Timer, log *zap.Logger) *Registry {
	return &Registry{
		drained: map[string]bool{}, gone: map[string]goneTarget{}, lostDrains: map[string]bool{}, log: log, missing: map[string]bool{}, targets: map[string]core.Target{}, timer: timer,
	}
}

// SetDrained sets whether an availability zone is drained; targets in a drained zone get no new requests.
func (r *Registry) SetDrained(zone string, drained bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.lostDrains, zone)
	if r.drained[zone] == drained {
		return
	}
	event.ZoneDrained.Write(r.log, zap.String("zone", zone), zap.Bool("drained", drained))
	next := maps.Clone(r.drained)
	next[zone] = drained
	r.drained = next
	r.changed.Store(true)
}

// SetDrainedZones replaces the set of drained availability zones.
func (r *Registry) SetDrainedZones(zones []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next := map[string]bool{}
	for _, zone := range zones {
		next[zone] = true
		delete(r.lostDrains, zone)
	}
	if r.timer.Now().Before(r.zoneGraceEnd) {
		for zone, drained := range r.drained {
			if drained && !next[zone] {
				next[zone], r.lostDrains[zone] = true, true
			}
		}
	}
	r.drained = next
	r.changed.Store(true)
}

// MarkRestored records that the store was restored from an older copy. Targets that are missing from it are kept for RecoveryGrace, in
// which they write their registrations again. Those that were removed before are not used again, although the copy may have them.
func (r *Registry) MarkRestored() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.targets) == 0 && len(r.gone) == 0 {
		return
	}
	now := r.timer.Now()
	r.graceEnd = now.Add(RecoveryGrace)
	if !now.Before(r.buriedUntil) {
		r.buried = nil
	}
	buried := map[string]core.Target{}
	maps.Copy(buried, r.buried)
	for id, g := range r.gone {
		if now.Sub(g.removedAt) < goneTime {
			buried[id] = g.Target
		}
	}
	r.buried, r.buriedUntil = buried, now.Add(goneTime)
}

// MarkZonesRestored records that the store was restored from an older copy. Zones whose drain it has lost stay drained for RecoveryGrace,
// in which operators write it again.
func (r *Registry) MarkZonesRestored() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.zoneGraceEnd = r.timer.Now().Add(RecoveryGrace)
}

// MarkStoreDown records that the store does not respond.
func (r *Registry) MarkStoreDown() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeDown = true
}

// Put stores the registration of a target. A registration older than the stored one is ignored.
func (r *Registry) Put(registration core.Target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.put(registration) {
		r.changed.Store(true)
	}
}

// MarkStoreUp records that the store responds again and starts the grace period of RecoveryGrace.
func (r *Registry) MarkStoreUp() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.storeDown {
		return
	}
	r.storeDown = false
	r.graceEnd = r.timer.Now().Add(RecoveryGrace)
}

// Remove handles the deletion of a target's registration from the store. During an outage or its grace period the target is
// kept until RemoveMissing.
func (r *Registry) Remove(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.remove(id) {
		r.changed.Store(true)
	}
}

// Reset applies a complete list of registrations; targets that are not listed are treated as by Remove.
func (r *Registry) Reset(registrations []core.Target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	listed := map[string]bool{}
	for _, registration := range registrations {
		listed[registration.ID] = true
		r.put(registration)
	}
	for id := range r.targets {
		if !listed[id] {
			r.remove(id)
		}
	}
	r.changed.Store(true)
}

// RemoveMissing removes the targets whose registrations are still missing RecoveryGrace after the end of an outage or a restore of the
// store, and the drains of zones that are.
func (r *Registry) RemoveMissing() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.removeLostDrains()
	if r.storeDown || len(r.missing) == 0 || r.timer.Now().Before(r.graceEnd) {
		return
	}
	for id := range r.missing {
		r.drop(id)
	}
	r.changed.Store(true)
}

// Targets implements core.TargetRegistry.Targets.
func (r *Registry) Targets() *core.TargetList {
	if r.changed.Load() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.publish()
	}
	return r.list.Load()
}

// removeLostDrains ends the drains that the restored store lacks after zoneGraceEnd; the caller holds the mutex.
func (r *Registry) removeLostDrains() {
	if len(r.lostDrains) == 0 || r.timer.Now().Before(r.zoneGraceEnd) {
		return
	}
	r.drained = maps.Clone(r.drained)
	for zone := range r.lostDrains {
		event.ZoneDrained.Write(r.log, zap.String("zone", zone), zap.Bool("drained", false))
		delete(r.drained, zone)
	}
	clear(r.lostDrains)
	r.changed.Store(true)
}

// remember records that a registration was removed; the caller holds the mutex.
func (r *Registry) remember(id string) {
	now := r.timer.Now()
	for other, g := range r.gone {
		if now.Sub(g.removedAt) >= goneTime {
			delete(r.gone, other)
		}
	}
	r.gone[id] = goneTarget{r.targets[id], now}
}

// drop deletes a target; the caller holds the mutex.
func (r *Registry) drop(id string) {
	event.TargetRemoved.Write(r.log, zap.String("target", id), zap.String("service", r.targets[id].Service))
	delete(r.missing, id)
	delete(r.targets, id)
}

// publish builds a new list if the state has changed; the caller holds the mutex. It runs only when a reader asks for
// the list, because changes come in bursts.
func (r *Registry) publish() {
	if !r.changed.Swap(false) {
		return
	}
	r.version++
	list := &core.TargetList{DrainedZones: r.drained, Targets: slices.Collect(maps.Values(r.targets)), Version: r.version}
	slices.SortFunc(list.Targets, func(a, b core.Target) int { return strings.Compare(a.ID, b.ID) })
	r.list.Store(list)
}

// put stores a registration and reports whether it was accepted; the caller holds the mutex.
func (r *Registry) put(registration core.Target) bool {
	known, found := r.targets[registration.ID]
	buried, isBuried := r.buried[registration.ID]
	isBuried = isBuried && r.timer.Now().Before(r.buriedUntil) && !buried.OlderThan(&registration)
	if isBuried || found && registration.OlderThan(&known) {
		event.TargetStale.Write(r.log, zap.String("target", registration.ID), zap.Int64("started_ms", registration.StartedMs),
			zap.Int64("sequence", registration.Sequence))
		return false
	}
	delete(r.missing, registration.ID)
	delete(r.buried, registration.ID)
	delete(r.gone, registration.ID)
	if !found || known.State != registration.State || known.StartedMs != registration.StartedMs || known.Address != registration.Address {
		event.TargetChanged.Write(r.log, zap.String("target", registration.ID), zap.String("service", registration.Service),
			zap.String("state", string(registration.State)), zap.String("address", registration.Address), zap.String("zone", registration.Zone),
			zap.Int64("started_ms", registration.StartedMs), zap.Int64("sequence", registration.Sequence))
	}
	r.targets[registration.ID] = registration
	return true
}

// remove deletes a target and reports whether it did. During an outage or its grace period it only marks the registration
// as missing, because the target may write it again. The caller holds the mutex.
func (r *Registry) remove(id string) bool {
	if _, found := r.targets[id]; !found {
		return false
	}
	if r.storeDown || r.timer.Now().Before(r.graceEnd) {
		r.missing[id] = true
		return false
	}
	r.remember(id)
	r.drop(id)
	return true
}
