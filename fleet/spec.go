package fleet

import (
	"fmt"

	"ebonyrouter.dev/core"
)

const (
	connectionsPerTarget = 360
	defaultMbit          = 4000
	// oneWayMs and remoteOneWayMs are the settings of links without and with the latencies of pulot.
	oneWayMs       = 1
	remoteOneWayMs = 55
)

// Spec describes a Deployment.
type Spec struct {
	// BodyBytes is the size of a response body; 0 stands for the default of the stand-in.
	BodyBytes    int
	HostsPerZone int
	// Latency gives the network the latencies of pulot; it needs Network.
	Latency bool
	// Mbit is the bandwidth of a link between regions in Mbit/s; 0 stands for 4,000.
	Mbit int64
	// Network makes all connections between hosts, to the store and from callers pass a network with faults.
	Network  bool
	Policy   core.Policy
	Regions  []string
	Services []ServiceSpec
	// ShiftRPS is the cap of each shift in requests per second; 0 stands for no shifts.
	ShiftRPS int64
	// TargetPaths makes the connections to the targets pass the network as well, in which the name of a target is its
	// address; it needs Network.
	TargetPaths bool
	// ZoneName names zone number z of a region; nil stands for the region with the suffixes -a, -b and so on.
	ZoneName func(region string, z int) string
	// Zones is the number of availability zones per region.
	Zones int
}

// Tree returns the settings of a deployment whose services have targets at the given addresses.
func (s Spec) Tree(targets map[string][]string) core.Settings {
	tree := core.Settings{
		Deployment: "test", Links: s.links(), Policy: s.Policy, Regions: map[string]core.RegionSettings{},
		Services: map[string]core.ServiceSettings{},
	}
	if s.Latency {
		tree.StoreRegion = s.Regions[0]
	}
	for _, region := range s.Regions {
		tree.Regions[region] = core.RegionSettings{Zones: map[string]core.ZoneSettings{}}
		for z := range s.Zones {
			tree.Regions[region].Zones[s.zoneName(region, z)] = core.ZoneSettings{}
		}
	}
	for _, service := range s.Services {
		tree.Services[service.Name] = core.ServiceSettings{Targets: s.targets(service, targets[service.Name])}
		tree.Shifts = append(tree.Shifts, s.shifts(service.Name, tree.Links)...)
	}
	return tree
}

// ZoneNames returns the zones of all regions in the order of the regions.
func (s Spec) ZoneNames() []string {
	var names []string
	for _, region := range s.Regions {
		for z := range s.Zones {
			names = append(names, s.zoneName(region, z))
		}
	}
	return names
}

// links returns both directions between all pairs of regions.
func (s Spec) links() []core.LinkSettings {
	link := core.LinkSettings{MbitPerSecond: defaultMbit, OneWayMs: oneWayMs}
	if s.Mbit > 0 {
		link.MbitPerSecond = s.Mbit
	}
	if s.Latency {
		link.OneWayMs = remoteOneWayMs
	}
	var links []core.LinkSettings
	for _, from := range s.Regions {
		for _, to := range s.Regions {
			if to != from {
				link.From, link.To = from, to
				links = append(links, link)
			}
		}
	}
	return links
}

func (s Spec) shifts(service string, links []core.LinkSettings) []core.ShiftSettings {
	var shifts []core.ShiftSettings
	for _, l := range links {
		if s.ShiftRPS > 0 {
			shifts = append(shifts, core.ShiftSettings{From: l.From, To: l.To, Service: service, RequestsPerSecond: s.ShiftRPS})
		}
	}
	return shifts
}

func (s Spec) targets(service ServiceSpec, addresses []string) map[string]core.TargetSettings {
	targets, zones := map[string]core.TargetSettings{}, s.ZoneNames()
	for i, address := range addresses {
		targets[targetName(service.Name, i)] = core.TargetSettings{
			Address: address, Connections: connectionsPerTarget, Slots: service.Slots, Zone: zones[i%len(zones)],
		}
	}
	return targets
}

func (s Spec) zoneName(region string, z int) string {
	if s.ZoneName != nil {
		return s.ZoneName(region, z)
	}
	return region + "-" + string(rune('a'+z))
}

// targetName returns the name of a target, counted from 0, in the settings.
func targetName(service string, i int) string {
	return fmt.Sprintf("%s-%02d", service, i)
}
