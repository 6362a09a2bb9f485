package lookup

import (
	"math"
	"slices"
)

const (
	// groupSize is the number of blocks whose marks, lengths and sites fill one cache line of 64 bytes.
	groupSize = 10
	// maxGroups is the number of groups whose first marks fit into one cache line with the rest of a page.
	maxGroups = 10
	// maxPage is the number of blocks above which a page is split.
	maxPage = groupSize * maxGroups
	// markBits is the number of address bits of a mark.
	markBits = 32
	// maxMark fills the unused marks, so that they are behind all others.
	maxMark = math.MaxUint32
)

// page holds the blocks within one prefix in the order of compareEntries; it never changes.
//
// A look-up waits mostly for the cache lines that it reads one after the other. The page itself is one line, and those of
// all pages fit into the cache of a core; it tells which group may contain an address. That group is one line as well.
// A binary search over arrays for the whole page read up to seven lines.
type page struct {
	// groups holds all blocks. If a block is so long that the marks do not hold all of its bits, as many groups follow,
	// whose marks are the next bits of the same blocks.
	groups []group
	// starts holds the first mark of each group but the first.
	starts [maxGroups - 1]uint32
	at     uint8
	count  uint8
}

// group holds successive blocks of a page.
type group struct {
	// marks holds the address bits of each block that follow the page's prefix.
	marks [groupSize]uint32
	bits  [groupSize]uint8
	sites [groupSize]uint8
	// The rest of a cache line.
	_ [4]byte
}

// newPage returns the page of a prefix of at bits with at most maxPage entries.
func newPage(at int, entries []entry) *page {
	p := &page{at: uint8(at), count: uint8(len(entries))}
	size := p.size()
	if slices.ContainsFunc(entries, func(e entry) bool { return int(e.bits) > at+markBits }) {
		size *= 2
	}
	p.groups = make([]group, size)
	for i, e := range entries {
		g, n := p.block(i)
		g.bits[n], g.marks[n], g.sites[n] = e.bits, p.mark(e.key), e.site
		if p.long() {
			p.groups[p.size()+i/groupSize].marks[n] = p.mark(e.key << markBits)
		}
	}
	for i := len(entries); i < p.size()*groupSize; i++ {
		g, n := p.block(i)
		g.marks[n] = maxMark
	}
	for i := range p.starts {
		p.starts[i] = maxMark
		if i+1 < p.size() {
			p.starts[i] = p.groups[i+1].marks[0]
		}
	}
	return p
}

// block returns the group of a block and its place there.
func (p *page) block(i int) (*group, int) {
	return &p.groups[i/groupSize], i % groupSize
}

// contains reports whether a block contains key, whose mark is mark.
func (p *page) contains(i int, key uint64, mark uint32) bool {
	g, n := p.block(i)
	if p.long() {
		return (p.tail(i)^key<<p.at)>>(keyBits+p.at-g.bits[n]) == 0
	}
	return (g.marks[n]^mark)>>(markBits+p.at-g.bits[n]) == 0
}

// entries returns the blocks of the page, whose prefix starts with base.
func (p *page) entries(base uint64) []entry {
	list := make([]entry, p.count)
	for i := range list {
		g, n := p.block(i)
		list[i] = entry{bits: g.bits[n], key: base | p.tail(i)>>p.at, site: g.sites[n]}
	}
	return list
}

// find returns the site of the longest block that contains key, which is within the page's prefix.
func (p *page) find(key uint64) (uint8, bool) {
	if p.count == 0 {
		return 0, false
	}
	mark := p.mark(key)
	// The highest mark is not below the unused starts.
	first := min(countUpTo(p.starts[:], mark), p.size()-1)
	low := first*groupSize + countUpTo(p.groups[first].marks[:], mark)
	// Of the blocks that contain key, the last one is the longest; blocks behind key do not contain it.
	for i := min(low, int(p.count)) - 1; i >= 0; i-- {
		if g, n := p.block(i); p.contains(i, key, mark) {
			return g.sites[n], true
		}
	}
	return 0, false
}

// long reports whether the marks do not hold all bits of each block.
func (p *page) long() bool {
	return len(p.groups) > p.size()
}

func (p *page) mark(key uint64) uint32 {
	return uint32(key << p.at >> (keyBits - markBits))
}

// size returns the number of groups that hold the blocks.
func (p *page) size() int {
	return (int(p.count) + groupSize - 1) / groupSize
}

// tail returns the address bits of a block that follow the page's prefix, as the leading ones.
func (p *page) tail(i int) uint64 {
	g, n := p.block(i)
	t := uint64(g.marks[n]) << markBits
	if p.long() {
		t |= uint64(p.groups[p.size()+i/groupSize].marks[n])
	}
	return t
}

// countUpTo returns how many marks are at most mark. It does not branch on them, because such a branch was predicted
// wrongly half of the time.
func countUpTo(marks []uint32, mark uint32) int {
	var n uint64
	for _, m := range marks {
		n += (uint64(m) - uint64(mark) - 1) >> 63
	}
	return int(n)
}

// with sets e in entries, which it may change.
func with(entries []entry, e entry) []entry {
	i, ok := slices.BinarySearchFunc(entries, e, compareEntries)
	if ok {
		entries[i] = e
		return entries
	}
	return slices.Insert(entries, i, e)
}

// without takes the block of e out of entries, which it may change.
func without(entries []entry, e entry) []entry {
	i, ok := slices.BinarySearchFunc(entries, e, compareEntries)
	if !ok {
		return entries
	}
	return slices.Delete(entries, i, i+1)
}
