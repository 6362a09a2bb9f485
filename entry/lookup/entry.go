package lookup

import (
	"cmp"
	"encoding/binary"
	"net/netip"
)

// entry is a block within a page. Its key holds the keyBits leading bits of its address; the page determines the address
// family.
type entry struct {
	key  uint64
	bits uint8
	site uint8
}

// compareEntries orders entries of one address family as blocks.Compare orders their blocks.
func compareEntries(a, b entry) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.bits, b.bits))
}

// prefix returns the prefix of the block as IPv4 or IPv6.
func (e entry) prefix(is4 bool) netip.Prefix {
	if is4 {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(e.key>>32))
		return netip.PrefixFrom(netip.AddrFrom4(a), int(e.bits))
	}
	var a [16]byte
	binary.BigEndian.PutUint64(a[:], e.key)
	return netip.PrefixFrom(netip.AddrFrom16(a), int(e.bits))
}
