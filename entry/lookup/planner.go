package lookup

import (
	"cmp"
	"math"
	"slices"

	"ebonyrouter.dev/core"
)

// planner groups the usable hosts by their distance from a place and keeps rankings that several sites share.
type planner struct {
	regionOf map[string]string
	regions  map[string][]core.LookupHost
	rankings map[place]ranking
	settings *core.Settings
	zones    map[string][]core.LookupHost
}

func newPlanner(s *core.Snapshot, hosts []core.Host) *planner {
	p := &planner{
		regionOf: s.RegionOf,
		regions:  map[string][]core.LookupHost{},
		rankings: map[place]ranking{},
		settings: &s.Settings,
		zones:    map[string][]core.LookupHost{},
	}
	for _, h := range hosts {
		region, known := s.RegionOf[h.Zone]
		if !known || !usable(h, s.Settings.Drains) {
			continue
		}
		l := core.LookupHost{Address: h.EntryAddress, Host: h.Host, Zone: h.Zone}
		p.zones[h.Zone] = append(p.zones[h.Zone], l)
		p.regions[region] = append(p.regions[region], l)
	}
	for _, g := range p.zones {
		sortHosts(g)
	}
	for _, g := range p.regions {
		sortHosts(g)
	}
	return p
}

func usable(h core.Host, d core.DrainSettings) bool {
	return h.State == core.HostReady && !slices.Contains(d.Hosts, h.Host) && !slices.Contains(d.Zones, h.Zone)
}

// groups returns the hosts of the zone, then of the region, then of the other regions by latency. With away the
// rest of the region comes before the zone.
func (p *planner) groups(zone string, away bool) [][]core.LookupHost {
	region, known := p.regionOf[zone]
	if !known {
		var all []core.LookupHost
		for _, g := range p.regions {
			all = append(all, g...)
		}
		sortHosts(all)
		return [][]core.LookupHost{all}
	}
	var rest []core.LookupHost
	for _, h := range p.regions[region] {
		if h.Zone != zone {
			rest = append(rest, h)
		}
	}
	groups := [][]core.LookupHost{p.zones[zone], rest}
	if away {
		groups[0], groups[1] = groups[1], groups[0]
	}
	for _, r := range p.others(region) {
		groups = append(groups, p.regions[r])
	}
	return groups
}

// others returns the other regions by latency from region; those without a link in the settings come last.
func (p *planner) others(region string) []string {
	latency := map[string]int64{}
	for r := range p.regions {
		if r != region {
			latency[r] = math.MaxInt64
		}
	}
	for _, l := range p.settings.Links {
		if _, ok := latency[l.To]; ok && l.From == region {
			latency[l.To] = min(latency[l.To], l.OneWayMs)
		}
	}
	names := make([]string, 0, len(latency))
	for r := range latency {
		names = append(names, r)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(latency[a], latency[b]), cmp.Compare(a, b))
	})
	return names
}

func (p *planner) ranking(at place) (ranking, error) {
	if r, ok := p.rankings[at]; ok {
		return r, nil
	}
	r, err := newRanking(p.groups(at.zone, at.away), at.length)
	if err == nil {
		p.rankings[at] = r
	}
	return r, err
}
