package lookup

import (
	"cmp"
	"math"
	"slices"

	"ebonyrouter.dev/core"
)

// rankingBuilder groups the usable hosts by zone and region, computes rankings from these groups, and caches the rankings,
// because sites share them.
type rankingBuilder struct {
	regionOf map[string]string
	regions  map[string][]core.LookupHost
	rankings map[rankingKey]ranking
	settings *core.Settings
	zones    map[string][]core.LookupHost
}

func newRankingBuilder(s *core.Snapshot, hosts []core.Host) *rankingBuilder {
	b := &rankingBuilder{
		regionOf: s.RegionOf,
		regions:  map[string][]core.LookupHost{},
		rankings: map[rankingKey]ranking{},
		settings: &s.Settings,
		zones:    map[string][]core.LookupHost{},
	}
	for _, h := range hosts {
		region, known := s.RegionOf[h.Zone]
		if !known || !usable(h, s.Settings.Drains) {
			continue
		}
		l := core.LookupHost{Address: h.EntryAddress, Host: h.Host, Zone: h.Zone}
		b.zones[h.Zone] = append(b.zones[h.Zone], l)
		b.regions[region] = append(b.regions[region], l)
	}
	for _, g := range b.zones {
		sortHosts(g)
	}
	for _, g := range b.regions {
		sortHosts(g)
	}
	return b
}

// usable reports whether a host is ready and neither it nor its zone is drained by the settings.
func usable(h core.Host, d core.DrainSettings) bool {
	return h.State == core.HostReady && !slices.Contains(d.Hosts, h.Host) && !slices.Contains(d.Zones, h.Zone)
}

// groups returns the hosts of the zone, those of the other zones of its region, and those of each other region in the order
// of latency. With otherZonesFirst the first two groups are swapped. For an unknown zone it returns one group of all hosts.
func (b *rankingBuilder) groups(zone string, otherZonesFirst bool) [][]core.LookupHost {
	region, known := b.regionOf[zone]
	if !known {
		var all []core.LookupHost
		for _, g := range b.regions {
			all = append(all, g...)
		}
		sortHosts(all)
		return [][]core.LookupHost{all}
	}
	var otherZones []core.LookupHost
	for _, h := range b.regions[region] {
		if h.Zone != zone {
			otherZones = append(otherZones, h)
		}
	}
	groups := [][]core.LookupHost{b.zones[zone], otherZones}
	if otherZonesFirst {
		groups[0], groups[1] = groups[1], groups[0]
	}
	for _, r := range b.otherRegions(region) {
		groups = append(groups, b.regions[r])
	}
	return groups
}

// otherRegions returns the other regions in the order of their one-way latency from region; regions without a link in the
// settings come last.
func (b *rankingBuilder) otherRegions(region string) []string {
	latency := map[string]int64{}
	for r := range b.regions {
		if r != region {
			latency[r] = math.MaxInt64
		}
	}
	for _, l := range b.settings.Links {
		if _, ok := latency[l.To]; ok && l.From == region {
			latency[l.To] = min(latency[l.To], l.OneWayMs)
		}
	}
	names := make([]string, 0, len(latency))
	for r := range latency {
		names = append(names, r)
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(latency[x], latency[y]), cmp.Compare(x, y))
	})
	return names
}

// ranking returns the ranking for a key, which it computes once.
func (b *rankingBuilder) ranking(key rankingKey) (ranking, error) {
	if r, ok := b.rankings[key]; ok {
		return r, nil
	}
	r, err := newRanking(b.groups(key.zone, key.otherZonesFirst), key.length)
	if err == nil {
		b.rankings[key] = r
	}
	return r, err
}
