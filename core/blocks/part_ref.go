package blocks

import "net/netip"

// PartRef refers to a part by digest. The part holds Blocks blocks, all those whose address is at least From and
// below the From of the next part.
type PartRef struct {
	Blocks int        `json:"blocks" msgpack:"blocks"`
	Digest string     `json:"digest" msgpack:"digest"`
	From   netip.Addr `json:"from" msgpack:"from"`
}

// Key returns the store key of the part.
func (p PartRef) Key() string {
	return keyPartPrefix + p.Digest
}
