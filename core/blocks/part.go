package blocks

import (
	"net/netip"
)

// A part consists of partMagic and its entries in the order of Compare. An entry consists of the length code (1 byte: the
// prefix length, plus codeIPv6 for IPv6), the index of the site (1 byte) and the leading address bytes that the prefix
// length covers. The largest code, maxCodeIPv6, is that of an IPv6 /128.
const (
	partMagic        = "EBB2"
	codeIPv6         = 64
	maxCodeIPv6      = codeIPv6 + 128
	entryHeaderBytes = 2
)

// maxPartBytes is the largest size of a part in bytes. With this size a map of 640,000 blocks has about 10 parts. 690 hosts
// that read all parts over 5 s then stay below the 2,000 reads a second that the store handles, and a change of one block
// makes each host read one part. Parts of 1 MB would double the bytes read for a change; parts of 128 KiB would exceed the
// store's read rate.
const maxPartBytes = 512 << 10

// encodePart returns the content of the part that holds these blocks.
func encodePart(blocks []Block) []byte {
	part := append(make([]byte, 0, partBytes(blocks)), partMagic...)
	for _, b := range blocks {
		part = appendBlock(part, b)
	}
	return part
}

// appendBlock appends the entry of a block to dst.
func appendBlock(dst []byte, b Block) []byte {
	bits := b.Prefix.Bits()
	code := bits
	if b.Prefix.Addr().Is6() {
		code += codeIPv6
	}
	dst = append(dst, byte(code), b.Site)
	return append(dst, b.Prefix.Addr().AsSlice()[:addressBytes(bits)]...)
}

// addressBytes returns the number of address bytes that a prefix length covers.
func addressBytes(bits int) int {
	return (bits + 7) / 8
}

// partBytes returns the encoded size in bytes of a part that holds these blocks.
func partBytes(blocks []Block) int {
	size := len(partMagic)
	for _, b := range blocks {
		size += entryHeaderBytes + addressBytes(b.Prefix.Bits())
	}
	return size
}

// decodePrefix returns the prefix with a length code and its leading address bytes.
func decodePrefix(code byte, address []byte) netip.Prefix {
	if code < codeIPv6 {
		var a [4]byte
		copy(a[:], address)
		return netip.PrefixFrom(netip.AddrFrom4(a), int(code))
	}
	var a [16]byte
	copy(a[:], address)
	return netip.PrefixFrom(netip.AddrFrom16(a), int(code)-codeIPv6)
}
