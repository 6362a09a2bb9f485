package blocks

import (
	"net/netip"
)

// A part is partMagic and then its entries in ascending order. An entry is its prefix length (1 byte, plus bitsIPv6 for
// IPv6; bitsIPv6Full is an IPv6 /128), the index of its site (1 byte) and the bytes of the address that the length covers.
const (
	partMagic    = "EBB2"
	bitsIPv6     = 64
	bitsIPv6Full = bitsIPv6 + 128
	entryHeader  = 2
)

// maxPartBytes is the largest part. A map of 640,000 blocks has about 10 parts then: 690 hosts that read all of them over
// 5 s make less than the two thousand reads a second that the store handles, and one changed block costs each host one
// part. Parts of 1 MB would double the bytes of a change, parts of 128 KiB exceed the rate of reads.
const maxPartBytes = 512 << 10

func encodePart(blocks []Block) []byte {
	part := append(make([]byte, 0, partBytes(blocks)), partMagic...)
	for _, b := range blocks {
		part = appendBlock(part, b)
	}
	return part
}

func appendBlock(to []byte, b Block) []byte {
	bits := b.Prefix.Bits()
	code := bits
	if b.Prefix.Addr().Is6() {
		code += bitsIPv6
	}
	to = append(to, byte(code), b.Site)
	return append(to, b.Prefix.Addr().AsSlice()[:addressBytes(bits)]...)
}

func addressBytes(bits int) int {
	return (bits + 7) / 8
}

// partBytes returns the size of the part that holds these blocks.
func partBytes(blocks []Block) int {
	size := len(partMagic)
	for _, b := range blocks {
		size += entryHeader + addressBytes(b.Prefix.Bits())
	}
	return size
}

// prefix returns the prefix of a length code and its address bytes.
func prefix(code byte, address []byte) netip.Prefix {
	if code < bitsIPv6 {
		var a [4]byte
		copy(a[:], address)
		return netip.PrefixFrom(netip.AddrFrom4(a), int(code))
	}
	var a [16]byte
	copy(a[:], address)
	return netip.PrefixFrom(netip.AddrFrom16(a), int(code)-bitsIPv6)
}
