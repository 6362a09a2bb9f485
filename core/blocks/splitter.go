package blocks

import (
	"net/netip"
	"slices"
)

// firstAddress is the lowest address; IPv4 addresses sort before IPv6 addresses.
var firstAddress = netip.AddrFrom4([4]byte{})

// splitter divides sorted blocks into parts of at most maxPartBytes.
type splitter struct {
	// parts holds the content of each part by digest; refs lists the parts in order.
	parts map[string][]byte
	refs  []PartRef
}

// splitAll adds all blocks as one part if they fit; otherwise it splits them by address family and then by halves of the
// address range.
func (s *splitter) splitAll(blocks []Block) {
	if partBytes(blocks) <= maxPartBytes {
		s.add(firstAddress, blocks)
		return
	}
	n, _ := slices.BinarySearchFunc(blocks, netip.IPv6Unspecified(), compareAddress)
	s.split(netip.PrefixFrom(firstAddress, 0), blocks[:n])
	s.split(netip.PrefixFrom(netip.IPv6Unspecified(), 0), blocks[n:])
}

// split adds the blocks within prefix as one part if they fit; otherwise it splits them by the halves of prefix. The
// recursion ends because the blocks of a single address fit into one part.
func (s *splitter) split(prefix netip.Prefix, blocks []Block) {
	if partBytes(blocks) <= maxPartBytes {
		s.add(prefix.Addr(), blocks)
		return
	}
	bits := prefix.Bits() + 1
	middle := upperHalf(prefix)
	n, _ := slices.BinarySearchFunc(blocks, middle, compareAddress)
	s.split(netip.PrefixFrom(prefix.Addr(), bits), blocks[:n])
	s.split(netip.PrefixFrom(middle, bits), blocks[n:])
}

// add appends a part that starts at from, unless it is empty. The preceding part covers the range of an empty part.
func (s *splitter) add(from netip.Addr, blocks []Block) {
	if len(blocks) == 0 {
		return
	}
	s.append(from, blocks)
}

// append encodes the blocks as a part that starts at from.
func (s *splitter) append(from netip.Addr, blocks []Block) {
	content := encodePart(blocks)
	ref := PartRef{Blocks: len(blocks), Digest: digest(content), From: from}
	s.parts[ref.Digest] = content
	s.refs = append(s.refs, ref)
}

// finish makes the parts cover all addresses: it adds an empty part if there is none and starts the first part at
// firstAddress.
func (s *splitter) finish() {
	if len(s.refs) == 0 {
		s.append(firstAddress, nil)
	}
	s.refs[0].From = firstAddress
}

// compareAddress compares the address of a block with an address.
func compareAddress(b Block, a netip.Addr) int {
	return b.Prefix.Addr().Compare(a)
}

// upperHalf returns the first address of the second half of a prefix.
func upperHalf(prefix netip.Prefix) netip.Addr {
	address := prefix.Addr().AsSlice()
	address[prefix.Bits()/8] |= 0x80 >> (prefix.Bits() % 8)
	middle, _ := netip.AddrFromSlice(address)
	return middle
}
