package lookup

import (
	"net/netip"
	"slices"
)

// splitter divides sorted blocks into pages.
type splitter struct {
	page  func(at netip.Prefix, p *page)
	short func(at netip.Prefix, site uint8)
}

// split makes one page of the blocks within at, or splits them in halves; a block that equals at covers both halves and
// is short. A single address of keyBits bits has one block, so the recursion ends.
func (s *splitter) split(at netip.Prefix, entries []entry) {
	if len(entries) <= maxPage {
		s.page(at, newPage(at.Bits(), entries))
		return
	}
	bits := at.Bits()
	if int(entries[0].bits) == bits {
		s.short(at, entries[0].site)
		entries = entries[1:]
	}
	left := netip.PrefixFrom(at.Addr(), bits+1)
	right := upperHalf(at)
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

// upperHalf returns the second of the two prefixes into which at divides.
func upperHalf(at netip.Prefix) netip.Prefix {
	bits := at.Bits() + 1
	e := entry{bits: uint8(bits), key: key(at.Addr()) | 1<<(keyBits-bits)}
	return e.prefix(at.Addr().Is4())
}
