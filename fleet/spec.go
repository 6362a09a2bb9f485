package fleet

import (
	"fmt"

	"ebonyrouter.dev/core"
)

const (
	// connectionsPerTarget is the connection limit of each target in the settings.
	connectionsPerTarget = 360
	// defaultMbit is the bandwidth of each link in Mbit/s if Spec.LinkMbit is 0.
	defaultMbit = 4000
	// defaultOneWayMs is the one-way latency of each link in the settings in milliseconds if Spec.Latency is false.
	defaultOneWayMs = 1
	// pulotOneWayMs is the one-way latency between regions in the deployment pulot in milliseconds.
	pulotOneWayMs = 55
)

// Spec describes the size, settings and network of a Deployment.
type Spec struct {
	// BodyBytes is the size of a response body; 0 means the default of the test upstream.
	BodyBytes    int
	HostsPerZone int
	// Latency gives the network the latencies of the deployment pulot. It requires Network.
	Latency bool
	// LinkMbit is the bandwidth of each link between regions in Mbit/s; 0 means 4,000.
	LinkMbit int64
	// Network routes the connections between hosts, to the store and from callers through a Network, which can inject
	// faults.
	Network  bool
	Policy   core.Policy
	Regions  []string
	Services []ServiceSpec
	// ShiftRPS is the cap of each shift in requests per second; 0 means no shifts.
	ShiftRPS int64
	// TargetPaths routes the connections to the targets through the network as well. The name of a target in the network
	// is its address. It requires Network.
	TargetPaths bool
	// ZoneName returns the name of zone z of a region, counted from 0; nil means the name of the region with the suffix -a,
	// -b and so on.
	ZoneName func(region string, z int) string
	// Zones is the number of availability zones per region.
	Zones int
}

// Settings returns the settings of the deployment. The argument holds the addresses of the targets by service.
func (s Spec) Settings(targets map[string][]string) core.Settings {
	settings := core.Settings{
		Deployment: "test", Links: s.links(), Policy: s.Policy, Regions: map[string]core.RegionSettings{},
		Services: map[string]core.ServiceSettings{},
	}
	if s.Latency {
		settings.StoreRegion = s.Regions[0]
	}
	for _, region := range s.Regions {
		settings.Regions[region] = core.RegionSettings{Zones: map[string]core.ZoneSettings{}}
		for z := range s.Zones {
			settings.Regions[region].Zones[s.zoneName(region, z)] = core.ZoneSettings{}
		}
	}
	for _, service := range s.Services {
		settings.Services[service.Name] = core.ServiceSettings{Targets: s.targets(service, targets[service.Name])}
		settings.Shifts = append(settings.Shifts, s.shifts(service.Name, settings.Links)...)
	}
	return settings
}

// ZoneNames returns the names of the zones of all regions, in the order of Regions.
func (s Spec) ZoneNames() []string {
	var names []string
	for _, region := range s.Regions {
		for z := range s.Zones {
			names = append(names, s.zoneName(region, z))
		}
	}
	return names
}

// links returns the settings of a link in each direction between all pairs of regions.
func (s Spec) links() []core.LinkSettings {
	link := core.LinkSettings{MbitPerSecond: defaultMbit, OneWayMs: defaultOneWayMs}
	if s.LinkMbit > 0 {
		link.MbitPerSecond = s.LinkMbit
	}
	if s.Latency {
		link.OneWayMs = pulotOneWayMs
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

// shifts returns the settings of a shift of a service along each link, or none if ShiftRPS is 0.
func (s Spec) shifts(service string, links []core.LinkSettings) []core.ShiftSettings {
	var shifts []core.ShiftSettings
	for _, l := range links {
		if s.ShiftRPS > 0 {
			shifts = append(shifts, core.ShiftSettings{From: l.From, To: l.To, Service: service, RequestsPerSecond: s.ShiftRPS})
		}
	}
	return shifts
}

// targets returns the settings of the targets of a service at the given addresses.
func (s Spec) targets(service ServiceSpec, addresses []string) map[string]core.TargetSettings {
	targets, zones := map[string]core.TargetSettings{}, s.ZoneNames()
	for i, address := range addresses {
		targets[targetName(service.Name, i)] = core.TargetSettings{
			Address: address, Connections: connectionsPerTarget, Slots: service.Slots, Zone: zones[i%len(zones)],
		}
	}
	return targets
}

// zoneName returns the name of zone z of a region, counted from 0.
func (s Spec) zoneName(region string, z int) string {
	if s.ZoneName != nil {
		return s.ZoneName(region, z)
	}
	return region + "-" + string(rune('a'+z))
}

// targetName returns the name in the settings of target i of a service, counted from 0.
func targetName(service string, i int) string {
	return fmt.Sprintf("%s-%02d", service, i)
}
