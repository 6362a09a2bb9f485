package blocks

import (
	"net/netip"
	"slices"
)

// firstAddress is the lowest address; IPv4 comes before IPv6.
var firstAddress = netip.AddrFrom4([4]byte{})

// splitter divides sorted blocks into parts.
type splitter struct {
	parts map[string][]byte
	refs  []PartRef
}

// all makes one part of all blocks, or splits them by family and then in halves.
func (s *splitter) all(blocks []Block) {
	if partBytes(blocks) <= maxPartBytes {
		s.add(firstAddress, blocks)
		return
	}
	n, _ := slices.BinarySearchFunc(blocks, netip.IPv6Unspecified(), compareAddress)
	s.split(netip.PrefixFrom(firstAddress, 0), blocks[:n])
	s.split(netip.PrefixFrom(netip.IPv6Unspecified(), 0), blocks[n:])
}

// split makes one part of the blocks whose address is within at, or splits them in halves. The blocks of a single address
// fit into one part, so the recursion ends.
func (s *splitter) split(at netip.Prefix, blocks []Block) {
	if partBytes(blocks) <= maxPartBytes {
		s.add(at.Addr(), blocks)
		return
	}
	bits := at.Bits() + 1
	middle := upperHalf(at)
	n, _ := slices.BinarySearchFunc(blocks, middle, compareAddress)
	s.split(netip.PrefixFrom(at.Addr(), bits), blocks[:n])
	s.split(netip.PrefixFrom(middle, bits), blocks[n:])
}

// add appends a part, but no empty one: the part before covers its range.
func (s *splitter) add(from netip.Addr, blocks []Block) {
	if len(blocks) == 0 {
		return
	}
	s.append(from, blocks)
}

func (s *splitter) append(from netip.Addr, blocks []Block) {
	content := encodePart(blocks)
	ref := PartRef{Blocks: len(blocks), Digest: digest(content), From: from}
	s.parts[ref.Digest] = content
	s.refs = append(s.refs, ref)
}

// finish makes the parts cover all addresses.
func (s *splitter) finish() {
	if len(s.refs) == 0 {
		s.append(firstAddress, nil)
	}
	s.refs[0].From = firstAddress
}

func compareAddress(b Block, a netip.Addr) int {
	return b.Prefix.Addr().Compare(a)
}

// upperHalf returns the first address of the second half of a prefix.
func upperHalf(at netip.Prefix) netip.Addr {
	address := at.Addr().AsSlice()
	address[at.Bits()/8] |= 0x80 >> (at.Bits() % 8)
	middle, _ := netip.AddrFromSlice(address)
	return middle
}
