package member

import (
	"slices"
	"strings"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// digestInterval is the time between two rounds of messages between exporters without changes, and between two
	// repeats of a recently changed digest or list.
	digestInterval = 250 * time.Millisecond
	// digestMaxAge is the age at which a digest is stale. Each of up to three hops adds one interval to the age of a
	// digest. With 500 ms and 1.25 s, lookups still named a dead exporter after 2 s in one of three runs.
	digestMaxAge = time.Second
	// digestIdleInterval is the time between two complete digests without changes; in between, growing sequences or the state
	// of the link keep them valid. It is shorter than suspicionGrace, so that a relay that restarts between two checks of its
	// link by another relay has all digests before it suspects any host.
	digestIdleInterval = 1600 * time.Millisecond
	// digestSettled is the time after a change from which complete digests are sent less often. It is longer than the
	// time to replace a link that lost the change: 1 s without a heartbeat and the dial.
	digestSettled = 2 * time.Second
	// listMaxAge is the age at which a list of digests is stale even if the link to its author is up.
	listMaxAge = 5 * digestIdleInterval / 2
	// digestRetention is how long a digest is kept after it was last received. Its sequence prevents copies that are
	// still in transit from counting as new; without it the digests of a lost region circulated forever.
	digestRetention = time.Minute
	// updateInterval is the time between two messages from a relay to a host of its zone while the last change is
	// recent, in case the connection broke while the first message was in transit.
	updateInterval = 2 * time.Second
	// updateSettled is the time after a change from which updates are sent less often.
	updateSettled = 2 * updateInterval
	// updateIdleInterval is the time between two updates without changes. It is shorter than updateTimeout, so that a host with
	// one relay does not read the store. Updates every 2 s took 1.1 kB/s at a relay with 61 hosts.
	updateIdleInterval = 8 * time.Second
	// updateMaxAge is the age at which the suspicions in a relay's update are stale to the hosts of its zone; if the
	// link to the relay is down they are ignored at once.
	updateMaxAge = 5 * updateIdleInterval / 2
	// suspicionGrace is the time without suspicions after the start of the process, after a host was first seen and after this
	// host became or ceased to be a relay, so that links can come up.
	suspicionGrace = 2 * time.Second
	// maxChanges bounds the changes that a relay stores for hosts that missed some.
	maxChanges = 256
)

// registration is what one host has registered, its version and when the host was first seen.
type registration struct {
	host        core.Host
	version     int64
	firstSeenAt core.Instant
}

// report is the newest digest or update from one author. confirmedAt is when a growing sequence last showed that the
// author of a digest is alive; a list does not show how old its digests are.
type report struct {
	receivedAt  core.Instant
	digest      core.MemberDigest
	confirmedAt core.Instant
	id          uint32
	suspected   map[string]bool
}

// digestList holds the keys of the digests in the last complete message from a relay of this host's region.
type digestList struct {
	receivedAt core.Instant
	keys       map[string]bool
}

// scopedHost is a host and its scope, the zone or region whose digests cover it.
type scopedHost struct {
	name        string
	scope       string
	firstSeenAt core.Instant
}

// table is the membership state of one host; its decisions are functions of the state, the links and the time.
type table struct {
	// applied counts the changes of registrations. cachedApplied is its value when the cached fields were computed, or
	// -1 to compute them again. cachedBase is the topology without suspicions.
	applied           int
	cachedTopology    topology
	cachedApplied     int
	cachedBase        topology
	cachedHosts       map[string]core.Host
	cachedScopedHosts []scopedHost
	changes           []core.HostChange
	digests           map[string]report
	registrations     map[string]registration
	lists             map[string]digestList
	updates           map[string]report
	roleChangedAt     core.Instant
	relaying          bool
	self              core.Host
	unresponsive      []string
	startedAt         core.Instant
	suspected         map[string]bool
	suspectedSince    map[string]core.Instant
	// trimmed is the highest version among the changes that were dropped because of maxChanges.
	trimmed int64
	// version is the version up to which all registrations are complete; single registrations may be newer.
	version int64
}

func newTable(self core.Host, now core.Instant) *table {
	return &table{
		cachedApplied:  -1,
		digests:        map[string]report{},
		registrations:  map[string]registration{self.Host: {host: self, firstSeenAt: now}},
		lists:          map[string]digestList{},
		updates:        map[string]report{},
		self:           self,
		startedAt:      now,
		suspected:      map[string]bool{},
		suspectedSince: map[string]core.Instant{},
	}
}

// apply stores registrations that are newer than the stored ones. This host's own registration is set by setSelf, so
// only its version is recorded.
func (t *table) apply(changes []core.HostChange, now core.Instant) {
	for _, c := range changes {
		e, known := t.registrations[c.Host.Host]
		if c.Version <= e.version {
			continue
		}
		t.applied++
		t.changes = append(t.changes, c)
		switch {
		case c.Host.Host == t.self.Host:
			e.version = c.Version
			t.registrations[t.self.Host] = e
		case c.Deleted:
			delete(t.registrations, c.Host.Host)
		default:
			if !known {
				e.firstSeenAt = now
			}
			t.registrations[c.Host.Host] = registration{host: c.Host, firstSeenAt: e.firstSeenAt, version: c.Version}
		}
	}
	for len(t.changes) > maxChanges {
		t.trimmed = max(t.trimmed, t.changes[0].Version)
		t.changes = t.changes[1:]
	}
}

// hosts returns the registrations by name; the map must not be modified.
func (t *table) hosts() map[string]core.Host {
	t.updateCache()
	return t.cachedHosts
}

// dialledBy reports whether the other host dials the link between it and this one, so that each pair has one link. A
// host dials the relays of its zone, and of two relays of a region the one with the lower name dials.
func (t *table) dialledBy(name string, top topology) bool {
	host := t.registrations[name].host
	if !t.relaying || host.Region != t.self.Region {
		return false
	}
	if slices.Contains(top.relays[host.Zone], name) || slices.Contains(t.cachedBase.relays[host.Zone], name) {
		return name < t.self.Host
	}
	return true
}

// updateCache recomputes the roles after a change; doing so in every tick took 1.4 ms at 690 hosts.
func (t *table) updateCache() {
	if t.cachedApplied == t.applied {
		return
	}
	t.cachedApplied = t.applied
	t.cachedHosts = make(map[string]core.Host, len(t.registrations))
	t.cachedScopedHosts = make([]scopedHost, 0, len(t.registrations))
	for name, e := range t.registrations {
		t.cachedHosts[name] = e.host
		scope := "region/" + e.host.Region
		if e.host.Region == t.self.Region {
			scope = "zone/" + e.host.Zone
		}
		if name != t.self.Host {
			t.cachedScopedHosts = append(t.cachedScopedHosts, scopedHost{name: name, scope: scope, firstSeenAt: e.firstSeenAt})
		}
	}
	// Sorted by scope, so that suspectedByRelay looks up the digests of each scope once.
	slices.SortFunc(t.cachedScopedHosts, func(a, b scopedHost) int { return strings.Compare(a.scope, b.scope) })
	t.cachedBase = newTopology(t.cachedHosts, nil)
	t.cachedTopology = newTopology(t.cachedHosts, t.suspected)
}

// changesSince returns the stored changes above a version.
func (t *table) changesSince(version int64) []core.HostChange {
	var changes []core.HostChange
	for _, c := range t.changes {
		if c.Version > version {
			changes = append(changes, c)
		}
	}
	return changes
}

// setSelf replaces this host's own registration.
func (t *table) setSelf(self core.Host) {
	t.self = self
	e := t.registrations[self.Host]
	e.host = self
	t.registrations[self.Host] = e
	t.applied++
}

// topology returns the current roles.
func (t *table) topology() topology {
	t.updateCache()
	return t.cachedTopology
}

// toSet returns the names as a set.
func toSet(names []string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, name := range names {
		s[name] = true
	}
	return s
}
