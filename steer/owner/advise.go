package owner

import (
	"cmp"
	"maps"
	"slices"

	"ebonyrouter.dev/core"
)

// releaseFraction is the part of a group's objects, one in so many, that a member above its share releases at once.
const releaseFraction = 4

// Advise returns what the member on host should release: objects that left the settings and objects above its share.
func Advise(document core.Ownership, host string, objects []Object, zones map[string]string) core.LeaseAdvice {
	advice := core.LeaseAdvice{Epoch: document.Epoch, Region: document.Region}
	member, ok := document.Members[host]
	if !ok {
		return advice
	}
	advice.Incarnation = member.Incarnation
	advice.GrantorsFrom = member.GrantorsFrom
	if objects == nil {
		return advice
	}
	wanted := objectZones(objects)
	for _, name := range slices.Sorted(maps.Keys(document.Objects)) {
		if _, ok := wanted[name]; !ok && document.Objects[name].Host == host {
			advice.Release = append(advice.Release, name)
		}
	}
	if len(advice.Release) == 0 {
		advice.Release = surplus(document, host, wanted, zones)
	}
	return advice
}

// surplus returns the objects that host should release now: of each group a part of what it owns above its share.
func surplus(document core.Ownership, host string, zoneOf, zones map[string]string) []string {
	candidates := eligible(document)
	if len(candidates) < 2 || document.Members[host].Leaving {
		return nil
	}
	t := newTally(document)
	groups := map[string][]string{}
	for name, o := range document.Objects {
		if o.Host == host {
			groups[groupOf(name)] = append(groups[groupOf(name)], name)
		}
	}
	var released []string
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		owned := groups[group]
		byCount := func(a, b string) int { return cmp.Compare(t.group(a, owned[0]), t.group(b, owned[0])) }
		least := slices.MinFunc(candidates, byCount)
		n := step(len(owned), t.group(least, owned[0]), t.sizes[group], len(candidates))
		if n == 0 {
			continue
		}
		slices.SortFunc(owned, func(a, b string) int {
			return cmp.Or(cmp.Compare(gain(b, host, least, zoneOf, zones), gain(a, host, least, zoneOf, zones)), cmp.Compare(a, b))
		})
		released = append(released, owned[:n]...)
	}
	return released
}

// step returns how many of its objects of a group a member releases at once. Above the rounded-up share it is a
// quarter, so that most slots stay usable while the rest moves; below it, one if the difference to the member with
// the fewest is at least two.
func step(owned, least, size, members int) int {
	share := (size + members - 1) / members
	switch {
	case owned > share:
		return min(owned-share, max(1, owned/releaseFraction))
	case owned == share && owned-least >= 2:
		return 1
	default:
		return 0
	}
}

// gain rates a move of an object: one of another zone loses nothing by moving, one of the receiver's zone gains.
func gain(name, host, receiver string, zoneOf, zones map[string]string) int {
	rating := 0
	if zoneOf[name] != zones[host] {
		rating++
	}
	if zoneOf[name] == zones[receiver] {
		rating++
	}
	return rating
}
