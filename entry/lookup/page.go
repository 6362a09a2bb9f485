package lookup

import (
	"math"
	"slices"
)

const (
	// groupSize is the number of blocks whose partial keys, prefix lengths and sites fit into one cache line of 64 bytes.
	groupSize = 10
	// maxGroups is the number of groups whose separators fit into one cache line together with the other fields of a page.
	maxGroups = 10
	// maxPageBlocks is the number of blocks above which a page is split.
	maxPageBlocks = groupSize * maxGroups
	// partialKeyBits is the number of address bits in a partial key.
	partialKeyBits = 32
	// maxPartialKey is the value of unused partial keys and separators, which sorts them last.
	maxPartialKey = math.MaxUint32
)

// page holds the blocks within one prefix in the order of compareEntries. It is immutable.
//
// Most of the time of a lookup is spent waiting for the cache lines that it reads one after the other. A page struct is one
// cache line, and the structs of all pages fit into the cache of a core. Its separators select the group that may contain an
// address, which is one more cache line. An earlier version, with a binary search over arrays for the whole page, read up to
// seven lines.
type page struct {
	// groups holds all blocks. If the prefix of a block is longer than the partial keys cover, the same number of groups
	// follows, whose partial keys hold the next address bits of the same blocks.
	groups []group
	// separators holds the first partial key of each group except the first group.
	separators [maxGroups - 1]uint32
	// prefixBits is the length of the page's prefix.
	prefixBits uint8
	// count is the number of blocks.
	count uint8
}

// group holds up to groupSize successive blocks of a page in one cache line.
type group struct {
	// partialKeys holds the partialKeyBits address bits of each block that follow the page's prefix.
	partialKeys [groupSize]uint32
	bits        [groupSize]uint8
	sites       [groupSize]uint8
	// Padding to the size of a cache line.
	_ [4]byte
}

// newPage returns the page of a prefix of prefixBits bits with at most maxPageBlocks entries.
func newPage(prefixBits int, entries []entry) *page {
	p := &page{prefixBits: uint8(prefixBits), count: uint8(len(entries))}
	size := p.groupCount()
	if slices.ContainsFunc(entries, func(e entry) bool { return int(e.bits) > prefixBits+partialKeyBits }) {
		size *= 2
	}
	p.groups = make([]group, size)
	for i, e := range entries {
		g, n := p.slot(i)
		g.bits[n], g.partialKeys[n], g.sites[n] = e.bits, p.partialKey(e.key), e.site
		if p.hasLong() {
			p.groups[p.groupCount()+i/groupSize].partialKeys[n] = p.partialKey(e.key << partialKeyBits)
		}
	}
	for i := len(entries); i < p.groupCount()*groupSize; i++ {
		g, n := p.slot(i)
		g.partialKeys[n] = maxPartialKey
	}
	for i := range p.separators {
		p.separators[i] = maxPartialKey
		if i+1 < p.groupCount() {
			p.separators[i] = p.groups[i+1].partialKeys[0]
		}
	}
	return p
}

// slot returns the group of block i and the position of the block within the group.
func (p *page) slot(i int) (*group, int) {
	return &p.groups[i/groupSize], i % groupSize
}

// contains reports whether block i contains key, whose partial key is partial.
func (p *page) contains(i int, key uint64, partial uint32) bool {
	g, n := p.slot(i)
	if p.hasLong() {
		return (p.suffix(i)^key<<p.prefixBits)>>(keyBits+p.prefixBits-g.bits[n]) == 0
	}
	return (g.partialKeys[n]^partial)>>(partialKeyBits+p.prefixBits-g.bits[n]) == 0
}

// entries returns the blocks of the page; base is the key of the first address of the page's prefix.
func (p *page) entries(base uint64) []entry {
	list := make([]entry, p.count)
	for i := range list {
		g, n := p.slot(i)
		list[i] = entry{bits: g.bits[n], key: base | p.suffix(i)>>p.prefixBits, site: g.sites[n]}
	}
	return list
}

// find returns the site of the block with the longest prefix that contains key, or false if there is none. The key must be
// within the page's prefix.
func (p *page) find(key uint64) (uint8, bool) {
	if p.count == 0 {
		return 0, false
	}
	partial := p.partialKey(key)
	// Without this limit a partial key of maxPartialKey would also count the unused separators.
	first := min(countAtMost(p.separators[:], partial), p.groupCount()-1)
	end := first*groupSize + countAtMost(p.groups[first].partialKeys[:], partial)
	// The last of the blocks that contain key has the longest prefix; blocks that start after key do not contain it.
	for i := min(end, int(p.count)) - 1; i >= 0; i-- {
		if g, n := p.slot(i); p.contains(i, key, partial) {
			return g.sites[n], true
		}
	}
	return 0, false
}

// hasLong reports whether the page has a block whose prefix is longer than one partial key covers.
func (p *page) hasLong() bool {
	return len(p.groups) > p.groupCount()
}

// partialKey returns the partialKeyBits bits of key that follow the page's prefix.
func (p *page) partialKey(key uint64) uint32 {
	return uint32(key << p.prefixBits >> (keyBits - partialKeyBits))
}

// groupCount returns the number of groups for all blocks, without those for the additional bits of long blocks.
func (p *page) groupCount() int {
	return (int(p.count) + groupSize - 1) / groupSize
}

// suffix returns the stored address bits of block i that follow the page's prefix, in the most significant bits.
func (p *page) suffix(i int) uint64 {
	g, n := p.slot(i)
	t := uint64(g.partialKeys[n]) << partialKeyBits
	if p.hasLong() {
		t |= uint64(p.groups[p.groupCount()+i/groupSize].partialKeys[n])
	}
	return t
}

// countAtMost returns the number of values that are at most limit. It is branchless because a branch on the comparison was
// mispredicted half of the time.
func countAtMost(values []uint32, limit uint32) int {
	var n uint64
	for _, v := range values {
		n += (uint64(v) - uint64(limit) - 1) >> 63
	}
	return int(n)
}

// setEntry adds e to sorted entries or replaces the entry with the same prefix. It may modify entries.
func setEntry(entries []entry, e entry) []entry {
	i, ok := slices.BinarySearchFunc(entries, e, compareEntries)
	if ok {
		entries[i] = e
		return entries
	}
	return slices.Insert(entries, i, e)
}

// removeEntry removes the entry with the prefix of e from sorted entries if there is one. It may modify entries.
func removeEntry(entries []entry, e entry) []entry {
	i, ok := slices.BinarySearchFunc(entries, e, compareEntries)
	if !ok {
		return entries
	}
	return slices.Delete(entries, i, i+1)
}
