package member

import (
	"maps"
	"slices"

	"ebonyrouter.dev/core"
)

const (
	// relaysPerZone is the number of hosts of an availability zone that watch the store and update the others.
	relaysPerZone = 2
	// exportersPerRegion is the number of relays of a region that exchange digests with other regions.
	exportersPerRegion = 2
	// nextRegions is the number of following regions in name order to which an exporter sends, so that losing one
	// region does not isolate those after it.
	nextRegions = 2
)

// topology is the assignment of roles to hosts; it is a pure function of the hosts and the suspicions. zones (all hosts) and
// relays are keyed by availability zone, regionRelays and exporters by region.
type topology struct {
	exporters    map[string][]string
	regionRelays map[string][]string
	regions      []string
	relays       map[string][]string
	zones        map[string][]string
}

// newTopology assigns the roles among the hosts that are not suspected.
func newTopology(hosts map[string]core.Host, suspected map[string]bool) topology {
	t := topology{
		exporters: map[string][]string{}, regionRelays: map[string][]string{}, relays: map[string][]string{}, zones: map[string][]string{},
	}
	regions := map[string]bool{}
	regionOf := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[name]
		t.zones[h.Zone] = append(t.zones[h.Zone], name)
		regionOf[h.Zone] = h.Region
		regions[h.Region] = true
		if !suspected[name] && len(t.relays[h.Zone]) < relaysPerZone {
			t.relays[h.Zone] = append(t.relays[h.Zone], name)
		}
	}
	t.regions = slices.Sorted(maps.Keys(regions))
	for zone, relays := range t.relays {
		region := regionOf[zone]
		t.regionRelays[region] = append(t.regionRelays[region], relays...)
	}
	for region, relays := range t.regionRelays {
		slices.Sort(relays)
		t.exporters[region] = relays[:min(len(relays), exportersPerRegion)]
	}
	return t
}

// nextExporters returns the hosts to which an exporter sends digests of regions: in each of the next regions the
// exporter of the same rank. For a region that is suspected as a whole it returns all relays that the region would have
// without suspicions. Otherwise two regions that suspect each other because their exporters died would never exchange
// digests again.
func (t topology) nextExporters(self core.Host, base topology) []string {
	rank := slices.Index(t.exporters[self.Region], self.Host)
	position := slices.Index(t.regions, self.Region)
	if rank < 0 || position < 0 {
		return nil
	}
	var hosts []string
	liveRegions := 0
	for i := 1; i < len(t.regions) && liveRegions < nextRegions; i++ {
		region := t.regions[(position+i)%len(t.regions)]
		if exporters := t.exporters[region]; len(exporters) > 0 {
			liveRegions++
			hosts = append(hosts, exporters[rank%len(exporters)])
			continue
		}
		hosts = append(hosts, base.regionRelays[region]...)
	}
	return hosts
}

// relayPeers returns the other relays of self's region. For a zone that is suspected as a whole it returns the relays that
// the zone would have without suspicions.
func (t topology) relayPeers(self core.Host, hosts map[string]core.Host, base topology) []string {
	var peers []string
	for _, zone := range slices.Sorted(maps.Keys(base.relays)) {
		relays := t.relays[zone]
		if len(relays) == 0 {
			relays = base.relays[zone]
		}
		for _, name := range relays {
			if name != self.Host && hosts[name].Region == self.Region {
				peers = append(peers, name)
			}
		}
	}
	return peers
}

// isRelay reports whether the host is a relay of its zone.
func (t topology) isRelay(self core.Host) bool {
	return slices.Contains(t.relays[self.Zone], self.Host)
}
