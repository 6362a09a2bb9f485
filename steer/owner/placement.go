package owner

import (
	"cmp"
	"slices"

	"ebonyrouter.dev/core"
)

// localGrantors is the wanted number of grantors in the region of the member if remote ones are available.
const localGrantors = 2

// placement selects the grantors of one member.
type placement struct {
	chosen []core.Host
	// hasLocalCandidates means that the region has other live or suspected hosts that can be grantors.
	hasLocalCandidates bool
	self               core.Host
}

// fill adds hosts in the order of the wanted places until the set is complete. If the region has other hosts, at most
// one remote host is added: two remote grantors would remove the member when its region loses contact with theirs.
func (p *placement) fill(hosts []core.Host) {
	next := nextRegion(p.self.Region, hosts)
	p.pick(hosts, func(h core.Host) bool { return h.Region == p.self.Region && h.Zone != p.self.Zone })
	p.pick(hosts, func(h core.Host) bool { return h.Zone == p.self.Zone })
	if len(p.chosen) < localGrantors {
		p.pick(hosts, func(h core.Host) bool { return h.Region == p.self.Region })
	}
	p.pick(hosts, func(h core.Host) bool { return h.Region == next && (!p.hasLocalCandidates || !p.hasRemote()) })
	for range core.MaxGrantors {
		p.pick(hosts, func(h core.Host) bool { return h.Region == p.self.Region || !p.hasLocalCandidates })
	}
}

// hasRemote reports whether a host of a remote region was chosen.
func (p *placement) hasRemote() bool {
	return slices.ContainsFunc(p.chosen, func(h core.Host) bool { return h.Region != p.self.Region })
}

// pick adds the first host by placementHash that fits, if the set has room.
func (p *placement) pick(hosts []core.Host, fits func(core.Host) bool) {
	if len(p.chosen) >= core.MaxGrantors {
		return
	}
	var candidates []core.Host
	for _, h := range hosts {
		if fits(h) && !slices.Contains(p.chosen, h) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return
	}
	p.chosen = append(p.chosen, slices.MinFunc(candidates, func(a, b core.Host) int {
		return cmp.Or(cmp.Compare(placementHash(p.self.Host, a.Host), placementHash(p.self.Host, b.Host)), cmp.Compare(a.Host, b.Host))
	}))
}
