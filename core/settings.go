package core

// Settings is the settings tree that operators edit. The names of durations and sizes include their unit.
type Settings struct {
	Deployment string                     `json:"deployment" msgpack:"deployment"`
	Policy     Policy                     `json:"policy" msgpack:"policy"`
	Regions    map[string]RegionSettings  `json:"regions" msgpack:"regions"`
	Services   map[string]ServiceSettings `json:"services" msgpack:"services"`
	Links      []LinkSettings             `json:"links,omitempty" msgpack:"links"`
	// Routes select services by Host name and path; a Host name with routes needs no service of its own.
	Routes []RouteSettings `json:"routes,omitempty" msgpack:"routes"`
	// Customers hold the API keys of requests and their limits.
	Customers []CustomerSettings `json:"customers,omitempty" msgpack:"customers"`
	// RequireKeys means that requests without the API key of a customer are rejected, except on public routes.
	RequireKeys bool `json:"require_keys,omitempty" msgpack:"require_keys"`
	// RankedAdmission means that a service with too little room refuses less urgent requests and customers above their fair share
	// first. RequireKeys implies it.
	RankedAdmission bool            `json:"ranked_admission,omitempty" msgpack:"ranked_admission"`
	Shifts          []ShiftSettings `json:"shifts,omitempty" msgpack:"shifts"`
	Drains          DrainSettings   `json:"drains,omitzero" msgpack:"drains"`
	Blocks          BlockSettings   `json:"blocks,omitzero" msgpack:"blocks"`
	// StoreRegion is the region of the store, in which the writers of idempotency records are chosen. If it is empty, each
	// region has its own writers.
	StoreRegion string `json:"store_region,omitempty" msgpack:"store_region"`
}

// RankedServices returns the services whose routes have several priorities.
func (s *Settings) RankedServices() map[string]bool {
	first, ranked := map[string]int64{}, map[string]bool{}
	for i := range s.Routes {
		for _, b := range s.Routes[i].Backends {
			priority, found := first[b.Service]
			if !found {
				first[b.Service] = s.Routes[i].Priority
			}
			if found && priority != s.Routes[i].Priority {
				ranked[b.Service] = true
			}
		}
	}
	return ranked
}

// RegionSettings holds the availability zones of a region and its overrides.
type RegionSettings struct {
	Policy   Policy                  `json:"policy,omitzero" msgpack:"policy"`
	Services map[string]Policy       `json:"services,omitempty" msgpack:"services"`
	Zones    map[string]ZoneSettings `json:"zones" msgpack:"zones"`
}

// ZoneSettings holds the overrides of one availability zone.
type ZoneSettings struct {
	Policy   Policy            `json:"policy,omitzero" msgpack:"policy"`
	Services map[string]Policy `json:"services,omitempty" msgpack:"services"`
}

// ServiceSettings holds the targets of a service, the Host names that select it and its overrides.
type ServiceSettings struct {
	// AffinityProbes is the number of positions of an affinity key in the order of the targets, up to 16. With several, the keys of
	// a target are in proportion to its slots, and few keys move when targets are added or removed. With 0 or 1 a key has one.
	AffinityProbes int `json:"affinity_probes,omitempty" msgpack:"affinity_probes"`
	// ColdPerSecond is the permitted rate of requests to a cold target from all hosts combined, per second.
	ColdPerSecond float64 `json:"cold_per_second,omitempty" msgpack:"cold_per_second"`
	// Connections is the number of connections that a registered target accepts from all hosts combined.
	Connections int                       `json:"connections,omitempty" msgpack:"connections"`
	HostNames   []string                  `json:"host_names,omitempty" msgpack:"host_names"`
	Policy      Policy                    `json:"policy,omitzero" msgpack:"policy"`
	Targets     map[string]TargetSettings `json:"targets" msgpack:"targets"`
}

// TargetSettings describes one upstream target; Address is an IP address with port.
type TargetSettings struct {
	Address     string `json:"address" msgpack:"address"`
	Connections int    `json:"connections" msgpack:"connections"`
	Slots       int    `json:"slots" msgpack:"slots"`
	Zone        string `json:"zone" msgpack:"zone"`
}

// LinkSettings limits the traffic of ebonyrouter from one region to another and states the one-way latency of the link. The
// opposite direction is a link of its own.
type LinkSettings struct {
	From          string `json:"from" msgpack:"from"`
	MbitPerSecond int64  `json:"mbit_per_second" msgpack:"mbit_per_second"`
	OneWayMs      int64  `json:"one_way_ms" msgpack:"one_way_ms"`
	To            string `json:"to" msgpack:"to"`
}

// ShiftSettings caps the requests of a service that may be sent from region From to region To. Percent is the share of the
// requests of From that is always sent to To; with 0 only overflow is sent.
type ShiftSettings struct {
	From              string `json:"from" msgpack:"from"`
	Percent           int64  `json:"percent,omitempty" msgpack:"percent"`
	RequestsPerSecond int64  `json:"requests_per_second" msgpack:"requests_per_second"`
	Service           string `json:"service" msgpack:"service"`
	To                string `json:"to" msgpack:"to"`
}

// DrainSettings lists what operators take out of service; targets are named service/target. Gone lists hosts that operators
// know to be permanently stopped, so that their objects can be reassigned even if no grantor remains.
type DrainSettings struct {
	Gone    []string `json:"gone,omitempty" msgpack:"gone"`
	Hosts   []string `json:"hosts,omitempty" msgpack:"hosts"`
	Targets []string `json:"targets,omitempty" msgpack:"targets"`
	Zones   []string `json:"zones,omitempty" msgpack:"zones"`
}

// BlockSettings names the version and number of parts of the client block map in the store.
type BlockSettings struct {
	Parts   int    `json:"parts" msgpack:"parts"`
	Version string `json:"version" msgpack:"version"`
}

// SettingsHead is the store object that names the accepted revision.
type SettingsHead struct {
	Author   string `json:"author" msgpack:"author"`
	ChangeID string `json:"change_id" msgpack:"change_id"`
	Digest   string `json:"digest" msgpack:"digest"`
	// Era is the era of the store from which the revision was read. A store that was restored from an older copy, which begins
	// another era, may get a revision again with other content.
	Era      int64  `json:"era,omitempty" msgpack:"era,omitempty"`
	Message  string `json:"message" msgpack:"message"`
	Parts    int    `json:"parts" msgpack:"parts"`
	Revision int64  `json:"revision" msgpack:"revision"`
	UnixMs   int64  `json:"unix_ms" msgpack:"unix_ms"`
}

// SettingsUpdate carries one accepted revision between processes. Content is the settings tree as JSON.
type SettingsUpdate struct {
	Head    SettingsHead `json:"head" msgpack:"head"`
	Content []byte       `json:"content" msgpack:"content"`
}

// SettingsSource provides the revision in force.
type SettingsSource interface {
	// Current returns the revision in force; it must not be modified.
	Current() *Snapshot
}

// SettingsView is the revision in force in the administration API.
type SettingsView struct {
	Head     SettingsHead `json:"head" msgpack:"head"`
	Settings Settings     `json:"settings" msgpack:"settings"`
}
