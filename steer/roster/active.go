package roster

import (
	"cmp"
	"slices"

	"ebonyrouter.dev/core"
)

const (
	// requestCoreSeconds is the processor time that a host needs for one request, in core seconds.
	requestCoreSeconds = 0.0006
	// maxUtilization is the fraction of the selected hosts' capacity that the callers of a region may use.
	maxUtilization = 0.6
)

// selectHosts returns the hosts of a region that its callers are to use: the fewest that can carry the demand. Fewer hosts
// are better, because each routes by its own view of the targets, which is the more accurate the larger its share of the
// requests is. Hosts with more capacity come first; hosts of equal capacity alternate between availability zones. If
// the capacity of any host is unknown, it returns all hosts.
func selectHosts(hosts []core.Host, demand float64) []core.Host {
	hostsInZone := map[string]int{}
	rank := make(map[string]int, len(hosts))
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b core.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Host, b.Host))
	})
	for _, h := range sorted {
		if h.Capacity <= 0 {
			return hosts
		}
		rank[h.Host] = hostsInZone[h.Zone]
		hostsInZone[h.Zone]++
	}
	slices.SortStableFunc(sorted, func(a, b core.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(rank[a.Host], rank[b.Host]))
	})
	capacity := 0.0
	for i, h := range sorted {
		capacity += h.Capacity
		if capacity*maxUtilization >= demand*requestCoreSeconds {
			return sorted[:i+1]
		}
	}
	return sorted
}
