package core

// HostState is the lifecycle state that a host reports about itself.
type HostState string

// States of a host.
const (
	// HostStarting means that the host is not ready to serve.
	HostStarting HostState = "starting"
	// HostReady means that the host serves.
	HostReady HostState = "ready"
	// HostDraining means that the host finishes its requests and accepts no new callers.
	HostDraining HostState = "draining"
)

// Host is the registration of one host; addresses are IP addresses with port.
type Host struct {
	AdminAddress string `json:"admin_address" msgpack:"admin_address"`
	// Capacity is the CPU time that the host may use, in cores, or 0 if it is not known.
	Capacity     float64   `json:"capacity" msgpack:"capacity"`
	EntryAddress string    `json:"entry_address" msgpack:"entry_address"`
	Host         string    `json:"host" msgpack:"host"`
	Incarnation  string    `json:"incarnation" msgpack:"incarnation"`
	LinkAddress  string    `json:"link_address" msgpack:"link_address"`
	Region       string    `json:"region" msgpack:"region"`
	RelayAddress string    `json:"relay_address" msgpack:"relay_address"`
	State        HostState `json:"state" msgpack:"state"`
	SteerAddress string    `json:"steer_address" msgpack:"steer_address"`
	Zone         string    `json:"zone" msgpack:"zone"`
}

// HostView lists the hosts that are known to be ready or draining.
type HostView interface {
	// Hosts returns the known hosts; the slice must not be modified.
	Hosts() []Host
}
