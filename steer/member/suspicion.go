package member

import (
	"maps"
	"slices"

	"ebonyrouter.dev/core"
)

// refresh recomputes the suspicions at now and reports whether they changed.
func (t *table) refresh(links core.Links, now core.Instant) bool {
	top := t.topology()
	if relaying := top.isRelay(t.self); relaying != t.relaying {
		t.relaying = relaying
		t.roleChangedAt = now
	}
	maps.DeleteFunc(t.lists, func(_ string, l digestList) bool { return now.Sub(l.receivedAt) >= listMaxAge })
	maps.DeleteFunc(t.digests, func(_ string, r report) bool { return now.Sub(r.receivedAt) >= digestRetention })
	var next map[string]bool
	if t.relaying {
		next = t.suspectedByRelay(links, now)
	} else {
		next = t.suspectedByHost(top, links, now)
	}
	if maps.Equal(next, t.suspected) {
		return false
	}
	t.suspected = next
	t.cachedApplied = -1
	maps.DeleteFunc(t.suspectedSince, func(name string, _ core.Instant) bool { return !next[name] })
	for name := range next {
		if _, ok := t.suspectedSince[name]; !ok {
			t.suspectedSince[name] = now
		}
	}
	return true
}

// unresponsiveHosts returns the hosts of this host's zone whose links are down. Within its grace period a host is
// included only if it is already suspected.
func (t *table) unresponsiveHosts(links core.Links, now core.Instant) []string {
	var names []string
	for _, name := range t.topology().zones[t.self.Zone] {
		e := t.registrations[name]
		if name == t.self.Host || links.Alive(e.host.SteerAddress) {
			continue
		}
		if t.suspected[name] || now.Sub(max(e.firstSeenAt, t.startedAt, t.roleChangedAt)) >= suspicionGrace {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// suspectedByHost returns the hosts that a host which is not a relay suspects: those that all relays with fresh updates
// suspect, and the relays whose links are down.
func (t *table) suspectedByHost(top topology, links core.Links, now core.Instant) map[string]bool {
	suspected := map[string]bool{}
	var suspicions []map[string]bool
	for _, name := range t.watchedRelays(top) {
		if e := t.registrations[name]; !links.Alive(e.host.SteerAddress) {
			if t.suspected[name] || now.Sub(max(e.firstSeenAt, t.startedAt, t.roleChangedAt)) >= suspicionGrace {
				suspected[name] = true
			}
			continue
		}
		if r, ok := t.updates[name]; ok && now.Sub(r.receivedAt) < updateMaxAge {
			suspicions = append(suspicions, r.suspected)
		}
	}
	for name := range intersection(suspicions) {
		if name != t.self.Host {
			suspected[name] = true
		}
	}
	return suspected
}

// suspectedByRelay returns the hosts that a relay suspects: hosts of its zone that no relay of the zone receives
// anything from, and hosts of other zones and regions that all valid digests suspect or that no valid digest covers.
func (t *table) suspectedByRelay(links core.Links, now core.Instant) map[string]bool {
	merged := t.mergedSuspicions(links, now)
	suspected := map[string]bool{}
	t.updateCache()
	var scope string
	var scopeSuspects map[string]bool
	var covered bool
	for _, h := range t.cachedScopedHosts {
		if now.Sub(max(h.firstSeenAt, t.startedAt, t.roleChangedAt)) < suspicionGrace {
			// A host that becomes a relay because another one died must keep suspecting that one.
			if t.suspected[h.name] {
				suspected[h.name] = true
			}
			continue
		}
		if h.scope != scope {
			scope = h.scope
			scopeSuspects, covered = merged[scope]
		}
		if !covered || scopeSuspects[h.name] {
			suspected[h.name] = true
		}
	}
	return suspected
}

// suspectedInRegion returns the suspected hosts of this host's region.
func (t *table) suspectedInRegion() []string {
	var names []string
	for name := range t.suspected {
		if t.registrations[name].host.Region == t.self.Region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// watchedRelays returns the relays whose updates a host that is not a relay uses: the relays of its zone, and those
// that would be relays if no host were suspected, so that it notices when such a relay recovers.
func (t *table) watchedRelays(top topology) []string {
	names := slices.Clone(top.relays[t.self.Zone])
	for _, name := range t.cachedBase.relays[t.self.Zone] {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// intersection returns the names that all sets contain.
func intersection(sets []map[string]bool) map[string]bool {
	common := map[string]bool{}
	if len(sets) == 0 {
		return common
	}
	for name := range sets[0] {
		if !slices.ContainsFunc(sets, func(s map[string]bool) bool { return !s[name] }) {
			common[name] = true
		}
	}
	return common
}
