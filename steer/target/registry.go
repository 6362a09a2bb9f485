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

// RecoveryGrace is the time after a store outage within which live targets write their entries again. Until it has
// elapsed, a missing entry does not mean that its target was removed.
const RecoveryGrace = 2 * time.Second

var _ core.TargetRegistry = (*Registry)(nil)

// Registry holds the registered targets and the drained availability zones. Targets whose entries go missing during a
// store outage are kept until RecoveryGrace has elapsed after it.
type Registry struct {
	// changed is set when list no longer reflects drained and targets.
	changed atomic.Bool
	drained map[string]bool
	list    atomic.Pointer[core.TargetList]
	log     *zap.Logger
	// missing holds the targets whose entries went missing during an outage or within RecoveryGrace of its end.
	missing map[string]bool
	mutex   sync.Mutex
	// graceEnd is the time from which a missing entry means that its target was removed.
	graceEnd  core.Instant
	storeDown bool
	targets   map[string]core.Target
	timer     core.Timer
	version   int64
}

// New returns a registry without a target list; Targets returns nil until the first change.
func New(timer core.Timer, log *zap.Logger) *Registry {
	return &Registry{
		drained: map[string]bool{}, log: log, missing: map[string]bool{}, targets: map[string]core.Target{}, timer: timer,
	}
}

// SetDrained sets whether an availability zone is drained; targets in a drained zone get no new requests.
func (r *Registry) SetDrained(zone string, drained bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
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
	r.drained = map[string]bool{}
	for _, zone := range zones {
		r.drained[zone] = true
	}
	r.changed.Store(true)
}

// MarkStoreDown records that the store does not respond.
func (r *Registry) MarkStoreDown() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeDown = true
}

// Put stores the entry of a target. An entry older than the stored one is ignored.
func (r *Registry) Put(entry core.Target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.put(entry) {
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

// Remove handles the deletion of a target's entry from the store. During an outage or its grace period the target is
// kept until RemoveMissing.
func (r *Registry) Remove(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.remove(id) {
		r.changed.Store(true)
	}
}

// Reset applies a complete list of entries; targets that are not listed are treated as by Remove.
func (r *Registry) Reset(entries []core.Target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
		r.put(entry)
	}
	for id := range r.targets {
		if !listed[id] {
			r.remove(id)
		}
	}
	r.changed.Store(true)
}

// RemoveMissing removes the targets whose entries are still missing RecoveryGrace after the end of an outage.
func (r *Registry) RemoveMissing() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
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

// put stores an entry and reports whether it was accepted; the caller holds the mutex.
func (r *Registry) put(entry core.Target) bool {
	known, found := r.targets[entry.ID]
	if found && entry.OlderThan(&known) {
		event.TargetStale.Write(r.log, zap.String("target", entry.ID), zap.Int64("started_ms", entry.StartedMs),
			zap.Int64("sequence", entry.Sequence))
		return false
	}
	delete(r.missing, entry.ID)
	if !found || known.State != entry.State || known.StartedMs != entry.StartedMs || known.Address != entry.Address {
		event.TargetChanged.Write(r.log, zap.String("target", entry.ID), zap.String("service", entry.Service),
			zap.String("state", string(entry.State)), zap.String("address", entry.Address), zap.String("zone", entry.Zone),
			zap.Int64("started_ms", entry.StartedMs), zap.Int64("sequence", entry.Sequence))
	}
	r.targets[entry.ID] = entry
	return true
}

// remove deletes a target and reports whether it did. During an outage or its grace period it only marks the entry as
// missing, because the target may write it again. The caller holds the mutex.
func (r *Registry) remove(id string) bool {
	if _, found := r.targets[id]; !found {
		return false
	}
	if r.storeDown || r.timer.Now().Before(r.graceEnd) {
		r.missing[id] = true
		return false
	}
	r.drop(id)
	return true
}
