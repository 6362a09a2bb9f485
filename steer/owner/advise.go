package owner

import (
	"cmp"
	"maps"
	"slices"

	"ebonyrouter.dev/core"
)

// releaseDivisor determines how many objects of a group a member above its share releases at once: one in
// releaseDivisor.
const releaseDivisor = 4

// Advise returns which objects the member on host should release: those that are no longer in the settings or, if there
// are none, some of those above its share. objects are the objects of the settings, and zones maps hosts to their
// availability zones.
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
	zoneOf := objectZones(objects)
	for _, name := range slices.Sorted(maps.Keys(document.Objects)) {
		if _, ok := zoneOf[name]; !ok && document.Objects[name].Host == host {
			advice.Release = append(advice.Release, name)
		}
	}
	if len(advice.Release) == 0 {
		advice.Release = surplus(document, host, zoneOf, zones)
	}
	return advice
}

// surplus returns the objects that host should release now: of each group, some of those above its share. zoneOf maps
// objects, and zones maps hosts, to availability zones.
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
		byCount := func(a, b string) int { return cmp.Compare(t.inGroup(a, owned[0]), t.inGroup(b, owned[0])) }
		lowest := slices.MinFunc(candidates, byCount)
		n := releaseCount(len(owned), t.inGroup(lowest, owned[0]), t.sizes[group], len(candidates))
		if n == 0 {
			continue
		}
		slices.SortFunc(owned, func(a, b string) int {
			return cmp.Or(
				cmp.Compare(moveRating(b, host, lowest, zoneOf, zones), moveRating(a, host, lowest, zoneOf, zones)),
				cmp.Compare(a, b),
			)
		})
		released = append(released, owned[:n]...)
	}
	return released
}

// releaseCount returns how many of its objects of a group a member releases at once. Above the rounded-up share it is a
// quarter, or the excess if that is less, so that most slots stay usable while the others move. At the share it is one
// if the member with the fewest owns at least two fewer.
func releaseCount(owned, fewest, size, members int) int {
	share := (size + members - 1) / members
	switch {
	case owned > share:
		return min(owned-share, max(1, owned/releaseDivisor))
	case owned == share && owned-fewest >= 2:
		return 1
	default:
		return 0
	}
}

// moveRating rates the move of an object from host to receiver: one point if the object is not in the zone of host, one
// if it is in the zone of receiver.
func moveRating(name, host, receiver string, zoneOf, zones map[string]string) int {
	rating := 0
	if zoneOf[name] != zones[host] {
		rating++
	}
	if zoneOf[name] == zones[receiver] {
		rating++
	}
	return rating
}
