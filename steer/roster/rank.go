package roster

import (
	"cmp"
	"slices"
	"strings"

	"ebonyrouter.dev/core"
)

// Rank returns the position of this host in an order of all registered hosts that depends only on their registrations, and the
// number of hosts; -1 if this host is not registered yet. The largest hosts of all regions come first, as lookups name them.
func (r *Roster) Rank() (rank, hosts int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.rankKnown {
		r.rankKnown, r.rank = true, rankOf(r.self.Host, r.hosts)
	}
	return r.rank, len(r.hosts)
}

// rankOf orders the hosts by their position within their region, then by region.
func rankOf(self string, hosts map[string]registration) int {
	regions := map[string][]core.Host{}
	for _, h := range hosts {
		regions[h.Region] = append(regions[h.Region], h.Host)
	}
	own, found := hosts[self]
	if !found {
		return -1
	}
	position := map[string]int{}
	for region, list := range regions {
		slices.SortFunc(list, func(a, b core.Host) int {
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(a.Host, b.Host))
		})
		position[region] = slices.IndexFunc(list, func(h core.Host) bool { return h.Host == self })
	}
	mine, rank := position[own.Region], 0
	for region, list := range regions {
		rank += min(len(list), mine)
		if region < own.Region && len(list) > mine {
			rank++
		}
	}
	return rank
}
