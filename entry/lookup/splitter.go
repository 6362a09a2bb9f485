package lookup

import (
	"net/netip"
	"slices"
)

// splitter divides sorted entries into pages.
type splitter struct {
	// page is called with each page and its prefix.
	page func(prefix netip.Prefix, p *page)
	// short is called with each block that covers several pages.
	short func(prefix netip.Prefix, site uint8)
}

// split makes one page of the entries within prefix if they fit; otherwise it splits them by the halves of prefix. A block
// whose prefix equals the split one covers both halves, so it is short. The recursion ends because there is at most one entry
// for a prefix of keyBits bits.
func (s *splitter) split(prefix netip.Prefix, entries []entry) {
	if len(entries) <= maxPageBlocks {
		s.page(prefix, newPage(prefix.Bits(), entries))
		return
	}
	bits := prefix.Bits()
	if int(entries[0].bits) == bits {
		s.short(prefix, entries[0].site)
		entries = entries[1:]
	}
	left := netip.PrefixFrom(prefix.Addr(), bits+1)
	right := upperHalf(prefix)
	start := key(right.Addr())
	n, _ := slices.BinarySearchFunc(entries, start, func(e entry, start uint64) int {
		if e.key < start {
			return -1
		}
		return 1
	})
	s.split(left, entries[:n])
	s.split(right, entries[n:])
}

// upperHalf returns the second half of a prefix.
func upperHalf(prefix netip.Prefix) netip.Prefix {
	bits := prefix.Bits() + 1
	e := entry{bits: uint8(bits), key: key(prefix.Addr()) | 1<<(keyBits-bits)}
	return e.prefix(prefix.Addr().Is4())
}
