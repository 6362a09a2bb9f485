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
		t.relaySeen = now
	}
	maps.DeleteFunc(t.lists, func(_ string, l list) bool { return now.Sub(l.at) >= listFresh })
	maps.DeleteFunc(t.digests, func(_ string, h heard) bool { return now.Sub(h.at) >= digestKept })
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
	t.cachedAt = -1
	maps.DeleteFunc(t.suspectedSince, func(name string, _ core.Instant) bool { return !next[name] })
	for name := range next {
		if _, ok := t.suspectedSince[name]; !ok {
			t.suspectedSince[name] = now
		}
	}
	return true
}

// silent returns the hosts of the own zone whose links are down.
func (t *table) silent(links core.Links, now core.Instant) []string {
	var names []string
	for _, name := range t.topology().zones[t.self.Zone] {
		e := t.entries[name]
		if name == t.self.Host || links.Alive(e.host.SteerAddress) {
			continue
		}
		if t.suspected[name] || now.Sub(max(e.seenAt, t.startedAt, t.relaySeen)) >= grace {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// suspectedByHost returns what a host that is no relay suspects: what all relays with fresh updates suspect, and the
// relays whose links are down.
func (t *table) suspectedByHost(top topology, links core.Links, now core.Instant) map[string]bool {
	suspected := map[string]bool{}
	var opinions []map[string]bool
	for _, name := range t.watched(top) {
		if e := t.entries[name]; !links.Alive(e.host.SteerAddress) {
			if t.suspected[name] || now.Sub(max(e.seenAt, t.startedAt, t.relaySeen)) >= grace {
				suspected[name] = true
			}
			continue
		}
		if n, ok := t.updates[name]; ok && now.Sub(n.at) < updateFresh {
			opinions = append(opinions, n.suspected)
		}
	}
	for name := range intersection(opinions) {
		if name != t.self.Host {
			suspected[name] = true
		}
	}
	return suspected
}

// suspectedByRelay returns what a relay suspects: hosts of the own zone that no relay of the zone hears, and hosts of
// other zones and regions that all fresh digests suspect or about which there is none.
func (t *table) suspectedByRelay(links core.Links, now core.Instant) map[string]bool {
	merged := t.opinions(links, now)
	suspected := map[string]bool{}
	t.fill()
	var scope string
	var silent map[string]bool
	var answered bool
	for _, p := range t.cachedPlaces {
		if now.Sub(max(p.seenAt, t.startedAt, t.relaySeen)) < grace {
			// A host that becomes a relay because another one is dead must not forget that.
			if t.suspected[p.name] {
				suspected[p.name] = true
			}
			continue
		}
		if p.scope != scope {
			scope = p.scope
			silent, answered = merged[scope]
		}
		if !answered || silent[p.name] {
			suspected[p.name] = true
		}
	}
	return suspected
}

// suspectedInRegion returns the suspected hosts of the own region.
func (t *table) suspectedInRegion() []string {
	var names []string
	for name := range t.suspected {
		if t.entries[name].host.Region == t.self.Region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// watched returns the hosts that a host which is no relay listens to: the relays, and those that would be relays if
// none were suspected, so that a relay that comes back is noticed.
func (t *table) watched(top topology) []string {
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
