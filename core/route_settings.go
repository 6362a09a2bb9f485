package core

// RouteSettings selects services for requests by their Host name and the longest matching path prefix.
type RouteSettings struct {
	LatencyObjectiveMs int64             `json:"aim_ms,omitempty" msgpack:"aim_ms"`
	Backends           []BackendSettings `json:"backends" msgpack:"backends"`
	HomeRegions        []string          `json:"home_regions,omitempty" msgpack:"home_regions"`
	HostName           string            `json:"host_name" msgpack:"host_name"`
	// Idempotent means that a request may run more than once, regardless of its method.
	Idempotent  bool   `json:"idempotent" msgpack:"idempotent"`
	MaxAttempts int64  `json:"max_attempts" msgpack:"max_attempts"`
	Name        string `json:"name" msgpack:"name"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix" msgpack:"path_prefix"`
	// Priority is the rank of the requests; 0 is the highest.
	Priority int64 `json:"priority,omitempty" msgpack:"priority"`
	// Public means that the route requires no API key, also if the settings require keys.
	Public bool `json:"public,omitempty" msgpack:"public"`
	// Sticky means that a target serves a request faster if it has recently served the same affinity key.
	Sticky bool `json:"sticky,omitempty" msgpack:"sticky"`
	// TimeoutMs is the longest deadline of a request in milliseconds; it replaces DeadlineMs of the policy.
	TimeoutMs int64 `json:"timeout_ms" msgpack:"timeout_ms"`
}

// BackendSettings is one service of a route. Weight is its share of the requests relative to the other backends.
type BackendSettings struct {
	Service string `json:"service" msgpack:"service"`
	Weight  int64  `json:"weight" msgpack:"weight"`
}
