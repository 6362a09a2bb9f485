package census

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

// Registry holds the registered targets and the drained availability zones. It keeps the targets whose entries go missing
// because of a store outage.
type Registry struct {
	// changed is set when list no longer reflects the state below.
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
func (c *Registry) SetDrained(zone string, drained bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.drained[zone] == drained {
		return
	}
	event.ZoneDrained.Write(c.log, zap.String("zone", zone), zap.Bool("drained", drained))
	next := maps.Clone(c.drained)
	next[zone] = drained
	c.drained = next
	c.changed.Store(true)
}

// SetDrainedZones replaces the set of drained availability zones.
func (c *Registry) SetDrainedZones(zones []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drained = map[string]bool{}
	for _, zone := range zones {
		c.drained[zone] = true
	}
	c.changed.Store(true)
}

// MarkStoreDown records that the store does not respond.
func (c *Registry) MarkStoreDown() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.storeDown = true
}

// Put stores the entry of a target. An entry older than the stored one is ignored.
func (c *Registry) Put(entry core.Target) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.put(entry) {
		c.changed.Store(true)
	}
}

// MarkStoreUp records that the store responds again and starts the grace period of RecoveryGrace.
func (c *Registry) MarkStoreUp() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.storeDown {
		return
	}
	c.storeDown = false
	c.graceEnd = c.timer.Now().Add(RecoveryGrace)
}

// Remove handles the deletion of a target's entry from the store. During an outage or its grace period the target is
// kept until RemoveMissing.
func (c *Registry) Remove(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.remove(id) {
		c.changed.Store(true)
	}
}

// Reset applies a complete list of entries; targets that are not listed are treated as by Remove.
func (c *Registry) Reset(entries []core.Target) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
		c.put(entry)
	}
	for id := range c.targets {
		if !listed[id] {
			c.remove(id)
		}
	}
	c.changed.Store(true)
}

// RemoveMissing removes the targets whose entries are still missing RecoveryGrace after the end of an outage.
func (c *Registry) RemoveMissing() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.storeDown || len(c.missing) == 0 || c.timer.Now().Before(c.graceEnd) {
		return
	}
	for id := range c.missing {
		c.drop(id)
	}
	c.changed.Store(true)
}

// Targets implements core.TargetRegistry.Targets.
func (c *Registry) Targets() *core.TargetList {
	if c.changed.Load() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.publish()
	}
	return c.list.Load()
}

// drop deletes a target; the caller holds the mutex.
func (c *Registry) drop(id string) {
	event.TargetRemoved.Write(c.log, zap.String("target", id), zap.String("service", c.targets[id].Service))
	delete(c.missing, id)
	delete(c.targets, id)
}

// publish builds a new list if the state has changed; the caller holds the mutex. It runs only when a reader asks for
// the list, because changes come in bursts.
func (c *Registry) publish() {
	if !c.changed.Swap(false) {
		return
	}
	c.version++
	list := &core.TargetList{DrainedZones: c.drained, Targets: slices.Collect(maps.Values(c.targets)), Version: c.version}
	slices.SortFunc(list.Targets, func(a, b core.Target) int { return strings.Compare(a.ID, b.ID) })
	c.list.Store(list)
}

// put stores an entry and reports whether it was accepted; the caller holds the mutex.
func (c *Registry) put(entry core.Target) bool {
	known, found := c.targets[entry.ID]
	if found && entry.OlderThan(&known) {
		event.TargetStale.Write(c.log, zap.String("target", entry.ID), zap.Int64("started_ms", entry.StartedMs),
			zap.Int64("sequence", entry.Sequence))
		return false
	}
	delete(c.missing, entry.ID)
	if !found || known.State != entry.State || known.StartedMs != entry.StartedMs || known.Address != entry.Address {
		event.TargetChanged.Write(c.log, zap.String("target", entry.ID), zap.String("service", entry.Service),
			zap.String("state", string(entry.State)), zap.String("address", entry.Address), zap.String("zone", entry.Zone),
			zap.Int64("started_ms", entry.StartedMs), zap.Int64("sequence", entry.Sequence))
	}
	c.targets[entry.ID] = entry
	return true
}

// remove deletes a target and reports whether it did. During an outage or its grace period it only marks the entry as
// missing, because the target may write it again. The caller holds the mutex.
func (c *Registry) remove(id string) bool {
	if _, found := c.targets[id]; !found {
		return false
	}
	if c.storeDown || c.timer.Now().Before(c.graceEnd) {
		c.missing[id] = true
		return false
	}
	c.drop(id)
	return true
}
