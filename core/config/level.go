package config

import "ebonyrouter.dev/core"

// level is one policy on the path from the root of the tree to a service in a zone.
type level struct {
	path   string
	policy core.Policy
}

// levels returns the policies that apply to service in zone; later ones override earlier ones.
func levels(settings *core.Settings, service, region, zone string) []level {
	r := settings.Regions[region]
	z := r.Zones[zone]
	regionPath := "regions." + region
	zonePath := regionPath + ".zones." + zone
	return []level{
		{"policy", settings.Policy},
		{regionPath + ".policy", r.Policy},
		{zonePath + ".policy", z.Policy},
		{"services." + service + ".policy", settings.Services[service].Policy},
		{regionPath + ".services." + service, r.Services[service]},
		{zonePath + ".services." + service, z.Services[service]},
	}
}
