package owner

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"ebonyrouter.dev/core"
)

// chooseGrantors returns the set of grantors of self: one host of another zone of its region, one of its own zone or
// else of the region, one of the next region that has hosts, then whatever is left of the region. Suspected hosts only
// fill up the set, and hosts that are gone are named only if there is no other: a set of which two grantors are dead can
// neither confirm nor revoke.
func chooseGrantors(self core.Host, hosts []core.Host, standings map[string]standing) []core.GrantorRef {
	byStanding := map[standing][]core.Host{}
	for _, h := range hosts {
		if h.Host != self.Host && h.State == core.HostReady && h.Incarnation != "" {
			s := standings[h.Host]
			byStanding[s] = append(byStanding[s], h)
		}
	}
	inRegion := func(h core.Host) bool { return h.Region == self.Region }
	p := &placement{self: self}
	p.company = slices.ContainsFunc(byStanding[standingHeard], inRegion) || slices.ContainsFunc(byStanding[standingSuspected], inRegion)
	p.fill(byStanding[standingHeard])
	p.fill(byStanding[standingSuspected])
	if len(p.chosen) == 0 {
		p.fill(byStanding[standingGone])
	}
	refs := make([]core.GrantorRef, 0, len(p.chosen))
	for _, h := range p.chosen {
		refs = append(refs, core.GrantorRef{Host: h.Host, Incarnation: h.Incarnation})
	}
	return refs
}

// nextRegion returns the first region after own in the order of names that has hosts, or "".
func nextRegion(own string, hosts []core.Host) string {
	names := map[string]bool{}
	for _, h := range hosts {
		if h.Region != own {
			names[h.Region] = true
		}
	}
	sorted := slices.Sorted(maps.Keys(names))
	if len(sorted) == 0 {
		return ""
	}
	i, _ := slices.BinarySearch(sorted, own)
	return sorted[i%len(sorted)]
}

// rank spreads the members evenly over the hosts that they can choose from.
func rank(member, host string) uint64 {
	sum := sha256.Sum256([]byte(member + "/" + host))
	return binary.BigEndian.Uint64(sum[:])
}

// spread returns how many of the wanted places the grantors cover: another zone of the region, a second host of the
// region, another region.
func spread(self core.Host, grantors []core.GrantorRef, hosts []core.Host) int {
	var zone, second, region int
	inRegion := 0
	for _, h := range hosts {
		if !slices.Contains(grantors, core.GrantorRef{Host: h.Host, Incarnation: h.Incarnation}) {
			continue
		}
		switch {
		case h.Region != self.Region:
			region = 1
		case h.Zone != self.Zone:
			zone = 1
			inRegion++
		default:
			inRegion++
		}
	}
	if inRegion > 1 {
		second = 1
	}
	return zone + second + region
}
