package blocks

import "net/netip"

// PartRef names a part; it holds the blocks whose address is From or above and below the From of the next part.
type PartRef struct {
	Blocks int        `json:"blocks" msgpack:"blocks"`
	Digest string     `json:"digest" msgpack:"digest"`
	From   netip.Addr `json:"from" msgpack:"from"`
}

// Key returns the key of the part in the store.
func (p PartRef) Key() string {
	return keyPartPrefix + p.Digest
}
