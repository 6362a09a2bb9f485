package roster

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

// maxReaders is the number of hosts of a region that may be asked to read the store for the others. All ask the first one; the
// second and third are asked if those before do not answer.
const maxReaders = 3

// restoreGrace is the time after a restore of the store in which hosts write their registrations again. A host that is missing from the
// store is kept as long.
const restoreGrace = 2 * time.Second

// linkGrace is the time that the link to a host may take to open after its registration was added or changed; until then
// the host does not count as dead.
const linkGrace = time.Second

// PeerLinks manages connections to peers and reports which peers respond; core.Links implements it.
type PeerLinks interface {
	// Alive reports whether the peer at address has recently sent anything.
	Alive(address string) bool
	// Connect keeps a connection to address open.
	Connect(address string)
	// Disconnect releases the connection that Connect requested.
	Disconnect(address string)
}

// Roster holds the registered hosts and resolves lookups to the live ones.
type Roster struct {
	// lookups caches the results of recent lookups; it is cleared when the registered hosts change.
	lookups map[location]cachedLookup
	demand  demand
	hosts   map[string]registration
	links   PeerLinks
	log     *zap.Logger
	mutex   sync.Mutex
	names   map[string][]string
	peers   []string
	// ranked lists the registered hosts of the region in the order in which Readers prefers them.
	ranked []string
	// rank is the result of Rank while rankKnown is true.
	rank      int
	rankKnown bool
	// self is the registration of this host; links are kept to the other hosts of its region.
	self core.Host
	// restoredAt is the time of the last MarkRestored, or 0; unlisted holds the hosts that the restored store lacks.
	restoredAt core.Instant
	unlisted   map[string]bool
	// slots returns the number of target slots of an average region.
	slots func() float64
	// stopping holds the hosts that have reported that they are stopping.
	stopping map[string]bool
	timer    core.Timer
}

const (
	// lookupCacheTime is how long a lookup result is reused. It is short compared with the time after which a host
	// counts as dead.
	lookupCacheTime = 50 * time.Millisecond
	// maxCachedLookups bounds the cached lookups, because callers may name any region and availability zone.
	maxCachedLookups = 256
)

// location is the region and availability zone that a caller states.
type location struct {
	region string
	zone   string
}

// cachedLookup is the result of a lookup and the time until which it is reused.
type cachedLookup struct {
	hosts   []core.Host
	expires core.Instant
}

// registration is a registered host and the time of its last change.
type registration struct {
	core.Host
	updatedAt core.Instant
}

// Option sets an option of a Roster.
type Option func(*Roster)

// WithSlots sets the function that returns the number of target slots of an average region. The demand of a region's
// callers is estimated from it until hosts report a higher one.
func WithSlots(slots func() float64) Option {
	return func(r *Roster) { r.slots = slots }
}

// New returns the roster of the host self; only the name and the region of self are used.
func New(self core.Host, links PeerLinks, timer core.Timer, log *zap.Logger, options ...Option) *Roster {
	r := &Roster{
		lookups: map[location]cachedLookup{}, demand: demand{rates: map[string]rate{}}, hosts: map[string]registration{}, links: links, log: log, self: self,
		slots: func() float64 { return 0 }, stopping: map[string]bool{}, timer: timer, unlisted: map[string]bool{},
	}
	for _, apply := range options {
		apply(r)
	}
	return r
}

// RecordRate records how many requests per second a host of the region receives.
func (r *Roster) RecordRate(host string, perSecond float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.demand.record(host, perSecond, r.timer.Now())
}

// RecordStopping records whether a host of the region has reported that it is stopping. Lookups do not name it then, also while
// its registration cannot be deleted because the store is unavailable.
func (r *Roster) RecordStopping(host string, stopping bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if stopping == r.stopping[host] {
		return
	}
	if stopping {
		r.stopping[host] = true
	} else {
		delete(r.stopping, host)
	}
	clear(r.lookups)
}

// Names returns the names of the registered hosts of a region, or of all regions if it is empty.
func (r *Roster) Names(region string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.names[region]
}

// Peers returns the link addresses of the other hosts of the region.
func (r *Roster) Peers() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peers
}

// Put stores the registration of a host.
func (r *Roster) Put(host core.Host) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.put(host)
	r.index()
}

// Readers returns the link addresses of the first maxReaders live hosts of the region, which may include this host. All hosts
// prefer the same ones: those with the most capacity, which lookups name as well, so that they need no link to themselves.
func (r *Roster) Readers() []string {
	now := r.timer.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var readers []string
	for _, name := range r.ranked {
		if h := r.hosts[name]; r.alive(&h, now) && !r.stopping[name] {
			readers = append(readers, h.LinkAddress)
		}
		if len(readers) == maxReaders {
			break
		}
	}
	return readers
}

// Remove deletes the registration of a host.
func (r *Roster) Remove(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.remove(name)
	r.index()
}

// Reset replaces all registrations by a complete list.
func (r *Roster) Reset(hosts []core.Host) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Host] = true
		r.put(h)
	}
	for name := range r.hosts {
		switch {
		case listed[name]:
		case r.restoring():
			r.unlisted[name] = true
		default:
			r.remove(name)
		}
	}
	r.index()
}

// MarkRestored records that the store was restored from an older copy. Hosts that are missing from it are kept for restoreGrace. Hosts that
// appear meanwhile may have left before, so they are not alive until their links are.
func (r *Roster) MarkRestored() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.hosts) > 0 {
		r.restoredAt = r.timer.Now()
	}
}

// RemoveMissing removes the hosts that are still missing restoreGrace after a restore of the store.
func (r *Roster) RemoveMissing() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.unlisted) == 0 || r.restoring() {
		return
	}
	for name := range r.unlisted {
		r.remove(name)
	}
	r.index()
}

// restoring reports whether hosts may still write their registrations again after a restore; the caller holds the mutex.
func (r *Roster) restoring() bool {
	return r.restoredAt != 0 && r.timer.Now().Sub(r.restoredAt) < restoreGrace
}

// Resolve returns the live hosts for callers in a region and availability zone: the fewest hosts of the region that can
// carry its demand. If that takes all of them or their capacity is unknown, it returns those of the zone, else those of
// the region, else the fewest of all live hosts that can carry the demand. The slice must not be modified.
func (r *Roster) Resolve(region, zone string) []core.Host {
	now := r.timer.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	caller := location{region, zone}
	if cached, found := r.lookups[caller]; found && now.Before(cached.expires) {
		return cached.hosts
	}
	if len(r.lookups) >= maxCachedLookups {
		clear(r.lookups)
	}
	hosts := r.resolve(region, zone, now)
	r.lookups[caller] = cachedLookup{hosts, now.Add(lookupCacheTime)}
	return hosts
}

// resolve computes a lookup without the cache; the caller holds the mutex. It names stopping hosts only if there are no
// others, because they still accept requests for a while.
func (r *Roster) resolve(region, zone string, now core.Instant) []core.Host {
	if hosts := r.resolveAmong(region, zone, now, false); len(hosts) > 0 {
		return hosts
	}
	return r.resolveAmong(region, zone, now, true)
}

// resolveAmong computes a lookup among the live hosts that are stopping or not.
func (r *Roster) resolveAmong(region, zone string, now core.Instant, stopping bool) []core.Host {
	var inZone, inRegion, live []core.Host
	for _, name := range r.names[""] {
		h := r.hosts[name]
		if !r.alive(&h, now) || r.stopping[name] != stopping {
			continue
		}
		live = append(live, h.Host)
		if h.Region == region {
			inRegion = append(inRegion, h.Host)
		}
		if h.Zone == zone {
			inZone = append(inZone, h.Host)
		}
	}
	demand := max(r.slots()/defaultRequestTime.Seconds(), r.demand.current(now))
	selected := selectHosts(inRegion, demand)
	switch {
	case len(selected) < len(inRegion):
		return selected
	case len(inZone) > 0:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	default:
		return selectHosts(live, demand)
	}
}

// alive reports whether a lookup may return the host; the caller holds the mutex.
func (r *Roster) alive(h *registration, now core.Instant) bool {
	if h.Host.Host == r.self.Host {
		return true
	}
	return r.needsLink(h.Host) && (r.links.Alive(h.LinkAddress) || now.Sub(h.updatedAt) < linkGrace)
}

// index rebuilds the lists of names and peers and clears the cached lookups; the caller holds the mutex.
func (r *Roster) index() {
	clear(r.lookups)
	r.rankKnown = false
	r.names = map[string][]string{}
	r.peers = nil
	for name, h := range r.hosts {
		if r.needsLink(h.Host) {
			r.peers = append(r.peers, h.LinkAddress)
		}
		r.names[h.Region] = append(r.names[h.Region], name)
		r.names[""] = append(r.names[""], name)
	}
	for _, names := range r.names {
		slices.SortFunc(names, strings.Compare)
	}
	r.ranked = slices.SortedFunc(slices.Values(r.names[r.self.Region]), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.hosts[b].Capacity, r.hosts[a].Capacity), cmp.Compare(a, b))
	})
}

// needsLink reports whether this process keeps a link to a host: to all other hosts of its region.
func (r *Roster) needsLink(host core.Host) bool {
	return host.Region == r.self.Region && host.Host != r.self.Host
}

// put stores a registration; the caller holds the mutex.
func (r *Roster) put(host core.Host) {
	delete(r.unlisted, host.Host)
	old, found := r.hosts[host.Host]
	if found && old.Host == host {
		return
	}
	if found && old.LinkAddress != host.LinkAddress {
		r.remove(host.Host)
	}
	if old.Incarnation != host.Incarnation {
		delete(r.stopping, host.Host)
	}
	event.HostListed.Write(r.log, zap.String("host", host.Host), zap.String("incarnation", host.Incarnation), zap.String("zone", host.Zone))
	updatedAt := r.timer.Now()
	if r.restoring() {
		updatedAt = updatedAt.Add(-linkGrace)
	}
	r.hosts[host.Host] = registration{Host: host, updatedAt: updatedAt}
	if r.needsLink(host) {
		r.links.Connect(host.LinkAddress)
	}
}

// remove deletes a registration; the caller holds the mutex.
func (r *Roster) remove(name string) {
	h, found := r.hosts[name]
	if !found {
		return
	}
	event.HostUnlisted.Write(r.log, zap.String("host", name), zap.String("incarnation", h.Incarnation))
	if r.needsLink(h.Host) {
		r.links.Disconnect(h.LinkAddress)
	}
	delete(r.hosts, name)
	delete(r.stopping, name)
	delete(r.unlisted, name)
}
