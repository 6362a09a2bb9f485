package owner

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"ebonyrouter.dev/core"
)

// chooseGrantors returns the set of grantors for self: one host in another zone of its region, one in its own zone or
// else elsewhere in the region, one in the next region that has hosts, and then any other hosts of the region. Suspected
// hosts only fill up the set, and lost hosts are used only if there is no other: a set with two dead grantors can
// neither confirm nor revoke.
func chooseGrantors(self core.Host, hosts []core.Host, health map[string]hostHealth) []core.GrantorRef {
	byHealth := map[hostHealth][]core.Host{}
	for _, h := range hosts {
		if h.Host != self.Host && h.State == core.HostReady && h.Incarnation != "" {
			s := health[h.Host]
			byHealth[s] = append(byHealth[s], h)
		}
	}
	inRegion := func(h core.Host) bool { return h.Region == self.Region }
	p := &placement{self: self}
	p.hasLocalCandidates = slices.ContainsFunc(byHealth[hostLive], inRegion) ||
		slices.ContainsFunc(byHealth[hostSuspected], inRegion)
	p.fill(byHealth[hostLive])
	p.fill(byHealth[hostSuspected])
	if len(p.chosen) == 0 {
		p.fill(byHealth[hostLost])
	}
	refs := make([]core.GrantorRef, 0, len(p.chosen))
	for _, h := range p.chosen {
		refs = append(refs, core.GrantorRef{Host: h.Host, Incarnation: h.Incarnation})
	}
	return refs
}

// nextRegion returns the region with hosts that follows own in name order, wrapping around, or "" if there is none.
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

// placementHash ranks host among the candidates of member, which spreads the members evenly over the hosts.
func placementHash(member, host string) uint64 {
	sum := sha256.Sum256([]byte(member + "/" + host))
	return binary.BigEndian.Uint64(sum[:])
}

// coveredPlaces returns how many of the wanted places the grantors cover: another zone of the region, a second host of
// the region, and another region.
func coveredPlaces(self core.Host, grantors []core.GrantorRef, hosts []core.Host) int {
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
