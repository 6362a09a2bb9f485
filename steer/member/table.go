package member

import (
	"slices"
	"strings"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// digestInterval is the time between two digests of a relay without changes.
	digestInterval = 250 * time.Millisecond
	// digestFresh is the time after which a digest says nothing any more. Each of up to three hops adds one interval
	// to the age of a digest; with 500 ms and 1.25 s a dead exporter was still named after 2 s in one of three runs.
	digestFresh = time.Second
	// digestIdle is the time between two digests in full without changes; growing sequences or the state of the link keep
	// them valid in between. It is shorter than grace: a relay that was restarted between two looks of another one at their
	// link knows all digests before it suspects anything.
	digestIdle = 1600 * time.Millisecond
	// digestSettled is the time after a change from which digests are sent less often. It is longer than the 1 s of silence
	// and the dial after which a link that lost the change is replaced.
	digestSettled = 2 * time.Second
	// listFresh is the time after which a list of digests says nothing any more although the link of its author is up.
	listFresh = 5 * digestIdle / 2
	// digestKept is the time after which a digest is forgotten. Until then its sequence keeps copies that are still
	// under way from counting as new; without it the digests of a lost region circulated for ever.
	digestKept = time.Minute
	// updateInterval is the time between two messages of a relay to a host of its zone while the last change is recent, in
	// case that a connection broke with the first one under way.
	updateInterval = 2 * time.Second
	// updateSettled is the time after a change from which updates are sent less often.
	updateSettled = 2 * updateInterval
	// updateIdle is the time between two updates without changes. It is shorter than updateTimeout, so that a host with one
	// relay does not read the store; every 2 s they were 1.1 kB/s of a relay with 61 hosts.
	updateIdle = 8 * time.Second
	// updateFresh is the time after which the suspicions of a relay say nothing to the hosts of its zone; that of a relay
	// whose link is down say nothing at once.
	updateFresh = 5 * updateIdle / 2
	// grace is the time for which nothing is suspected after the start of the process, after a host was first seen
	// or after this host became a relay, so that links can come up.
	grace = 2 * time.Second
	// changesKept bounds the changes that a relay can send to a host that missed some.
	changesKept = 256
)

// entry is what the table knows about one host.
type entry struct {
	host    core.Host
	version int64
	seenAt  core.Instant
}

// heard is the newest digest or update of one author. freshAt is when a growing sequence last showed that the author of a
// digest lives; a list does not tell how old its digests are.
type heard struct {
	at        core.Instant
	digest    core.MemberDigest
	freshAt   core.Instant
	id        uint32
	suspected map[string]bool
}

// list names the digests in the last complete message of a relay of the own region.
type list struct {
	at   core.Instant
	keys map[string]bool
}

// place is a host with the zone or region whose digests tell of it.
type place struct {
	name   string
	scope  string
	seenAt core.Instant
}

// table is the state of membership of one host; its decisions are functions of the state, the links and the time.
type table struct {
	// applied counts the changes of registrations.
	applied        int
	cached         topology
	cachedAt       int
	cachedBase     topology
	cachedHosts    map[string]core.Host
	cachedPlaces   []place
	changes        []core.HostChange
	digests        map[string]heard
	entries        map[string]entry
	lists          map[string]list
	updates        map[string]heard
	relaySeen      core.Instant
	relaying       bool
	self           core.Host
	silence        []string
	startedAt      core.Instant
	suspected      map[string]bool
	suspectedSince map[string]core.Instant
	// trimmed is the highest version among the changes that are not kept any more.
	trimmed int64
	// version is the version up to which all registrations are known; single entries may be newer.
	version int64
}

func newTable(self core.Host, now core.Instant) *table {
	return &table{
		cachedAt:       -1,
		digests:        map[string]heard{},
		entries:        map[string]entry{self.Host: {host: self, seenAt: now}},
		lists:          map[string]list{},
		updates:        map[string]heard{},
		self:           self,
		startedAt:      now,
		suspected:      map[string]bool{},
		suspectedSince: map[string]core.Instant{},
	}
}

// apply takes over registrations that are newer than the known ones. The own registration is known from this process
// itself, so only its version is noted.
func (t *table) apply(changes []core.HostChange, now core.Instant) {
	for _, c := range changes {
		e, known := t.entries[c.Host.Host]
		if c.Version <= e.version {
			continue
		}
		t.applied++
		t.changes = append(t.changes, c)
		switch {
		case c.Host.Host == t.self.Host:
			e.version = c.Version
			t.entries[t.self.Host] = e
		case c.Deleted:
			delete(t.entries, c.Host.Host)
		default:
			if !known {
				e.seenAt = now
			}
			t.entries[c.Host.Host] = entry{host: c.Host, seenAt: e.seenAt, version: c.Version}
		}
	}
	for len(t.changes) > changesKept {
		t.trimmed = max(t.trimmed, t.changes[0].Version)
		t.changes = t.changes[1:]
	}
}

// hosts returns the registrations by name; the map must not be modified.
func (t *table) hosts() map[string]core.Host {
	t.fill()
	return t.cachedHosts
}

// dialledBy reports whether the other host dials the link between it and this one, so that each pair has one link: a
// host dials the relays of its zone, and of two relays of a region the one with the lower name dials.
func (t *table) dialledBy(name string, top topology) bool {
	host := t.entries[name].host
	if !t.relaying || host.Region != t.self.Region {
		return false
	}
	if slices.Contains(top.relays[host.Zone], name) || slices.Contains(t.cachedBase.relays[host.Zone], name) {
		return name < t.self.Host
	}
	return true
}

// fill computes the duties again after a change; doing so in every tick took 1.4 ms at 690 hosts.
func (t *table) fill() {
	if t.cachedAt == t.applied {
		return
	}
	t.cachedAt = t.applied
	t.cachedHosts = make(map[string]core.Host, len(t.entries))
	t.cachedPlaces = make([]place, 0, len(t.entries))
	for name, e := range t.entries {
		t.cachedHosts[name] = e.host
		scope := "region/" + e.host.Region
		if e.host.Region == t.self.Region {
			scope = "zone/" + e.host.Zone
		}
		if name != t.self.Host {
			t.cachedPlaces = append(t.cachedPlaces, place{name: name, scope: scope, seenAt: e.seenAt})
		}
	}
	// In the order of places, a look finds the digests of each place once.
	slices.SortFunc(t.cachedPlaces, func(a, b place) int { return strings.Compare(a.scope, b.scope) })
	t.cachedBase = newTopology(t.cachedHosts, nil)
	t.cached = newTopology(t.cachedHosts, t.suspected)
}

// since returns the kept changes above a version.
func (t *table) since(version int64) []core.HostChange {
	var changes []core.HostChange
	for _, c := range t.changes {
		if c.Version > version {
			changes = append(changes, c)
		}
	}
	return changes
}

// setSelf changes the own registration.
func (t *table) setSelf(self core.Host) {
	t.self = self
	e := t.entries[self.Host]
	e.host = self
	t.entries[self.Host] = e
	t.applied++
}

// topology returns the present duties.
func (t *table) topology() topology {
	t.fill()
	return t.cached
}

// set returns the names as a set.
func set(names []string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, name := range names {
		s[name] = true
	}
	return s
}
