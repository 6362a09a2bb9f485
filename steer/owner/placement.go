package owner

import (
	"cmp"
	"slices"

	"ebonyrouter.dev/core"
)

// placesInRegion is the number of grantors of the own region when others are available too.
const placesInRegion = 2

// placement collects the grantors of one member.
type placement struct {
	chosen []core.Host
	// company means that the region has other hosts that can be grantors.
	company bool
	self    core.Host
}

// fill adds hosts in the order of the wanted places until the set is complete. Beside a host of the region, one of
// another region is enough: two of them remove the members of a region that loses contact with theirs.
func (p *placement) fill(hosts []core.Host) {
	next := nextRegion(p.self.Region, hosts)
	p.pick(hosts, func(h core.Host) bool { return h.Region == p.self.Region && h.Zone != p.self.Zone })
	p.pick(hosts, func(h core.Host) bool { return h.Zone == p.self.Zone })
	if len(p.chosen) < placesInRegion {
		p.pick(hosts, func(h core.Host) bool { return h.Region == p.self.Region })
	}
	p.pick(hosts, func(h core.Host) bool { return h.Region == next && (!p.company || !p.hasForeign()) })
	for range core.MaxGrantors {
		p.pick(hosts, func(h core.Host) bool { return h.Region == p.self.Region || !p.company })
	}
}

// hasForeign reports whether a host of another region was chosen.
func (p *placement) hasForeign() bool {
	return slices.ContainsFunc(p.chosen, func(h core.Host) bool { return h.Region != p.self.Region })
}

// pick adds the first host that fits, if the set has room.
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
		return cmp.Or(cmp.Compare(rank(p.self.Host, a.Host), rank(p.self.Host, b.Host)), cmp.Compare(a.Host, b.Host))
	}))
}
