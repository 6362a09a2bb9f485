package core

import "net/netip"

// Lookuper ranks the entry hosts for a client address.
type Lookuper interface {
	// Lookup returns the ranked entry hosts for a service and a client address.
	Lookup(service string, client netip.Addr) (LookupResponse, error)
}

// LookupResponse is a ranked list of entry hosts and the time for which it may be cached.
type LookupResponse struct {
	Hosts    []LookupHost `json:"hosts" msgpack:"hosts"`
	Revision int64        `json:"revision" msgpack:"revision"`
	Service  string       `json:"service" msgpack:"service"`
	Site     string       `json:"site,omitempty" msgpack:"site"`
	ValidMs  int64        `json:"valid_ms" msgpack:"valid_ms"`
}

// LookupHost is one entry host of a lookup response. Address is an IP address with port.
type LookupHost struct {
	Address string `json:"address" msgpack:"address"`
	Host    string `json:"host" msgpack:"host"`
	Zone    string `json:"zone" msgpack:"zone"`
}
