package lookup

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
	"github.com/juju/errors"

	"ebonyrouter.dev/core/blocks"
)

// keyBits is the number of leading address bits in a key.
const keyBits = 64

// Table maps client blocks to sites by longest prefix match. A table in use is immutable.
//
// With one bart entry per block the table took 40 to 52 bytes per block, depending on how the blocks are distributed, and a
// lookup waited for main memory at three levels. Therefore bart only finds a page, which holds up to maxPageBlocks blocks.
// The pages have disjoint prefixes that cover all addresses. There are so few pages that bart.Fast takes only 0.1 MB more
// than bart.Table and is a fifth faster. A block is stored in the page whose prefix contains it. The few blocks that cover
// several pages are in short, and those with a prefix longer than keyBits are in long.
type Table struct {
	long  *bart.Table[uint8]
	pages *bart.Fast[*page]
	short *bart.Table[uint8]
	sites []blocks.Site
	// size is the number of blocks in pages.
	size int
}

// newTable returns a table without blocks.
func newTable(sites []blocks.Site) *Table {
	t := &Table{long: &bart.Table[uint8]{}, pages: &bart.Fast[*page]{}, short: &bart.Table[uint8]{}, sites: sites}
	for _, all := range []string{"0.0.0.0/0", "::/0"} {
		t.pages.Insert(netip.MustParsePrefix(all), newPage(0, nil))
	}
	return t
}

// Blocks returns the blocks whose address is at least from and below end, sorted by blocks.Compare. If end is invalid, there
// is no upper limit.
func (t *Table) Blocks(from, end netip.Addr) []blocks.Block {
	var found []blocks.Block
	add := func(p netip.Prefix, site uint8) {
		if !p.Addr().Less(from) && (!end.IsValid() || p.Addr().Less(end)) {
			found = append(found, blocks.Block{Prefix: p, Site: site})
		}
	}
	for p, site := range t.long.All() {
		add(p, site)
	}
	for p, site := range t.short.All() {
		add(p, site)
	}
	for prefix, p := range t.pages.All() {
		if end.IsValid() && !prefix.Addr().Less(end) || endsBelow(prefix, from) {
			continue
		}
		for _, e := range p.entries(key(prefix.Addr())) {
			add(e.prefix(prefix.Addr().Is4()), e.site)
		}
	}
	slices.SortFunc(found, blocks.Compare)
	return found
}

// Find returns the index of the site of the block with the longest prefix that contains client, or false if there is none. The
// client must not be an IPv4-mapped IPv6 address.
func (t *Table) Find(client netip.Addr) (int, bool) {
	return t.find(client, key(client))
}

// Len returns the number of blocks.
func (t *Table) Len() int {
	return t.size + t.long.Size() + t.short.Size()
}

// Sites returns the sites by index; the caller must not modify the slice.
func (t *Table) Sites() []blocks.Site {
	return t.sites
}

// WithBlock returns a table in which b is added or its site is changed. It shares the unchanged pages with t.
func (t *Table) WithBlock(b blocks.Block) (*Table, error) {
	if err := b.Check(len(t.sites)); err != nil {
		return nil, errors.Annotatef(err, "block %v", b.Prefix)
	}
	e := newEditor(t)
	e.set(b)
	return e.finish(), nil
}

// WithChanges returns a table in which the blocks of changed replace those of old. Both lists must be sorted by
// blocks.Compare, and the blocks of changed must be valid. It shares the unchanged pages with t.
func (t *Table) WithChanges(old, changed []blocks.Block) *Table {
	e := newEditor(t)
	blocks.Walk(old, changed, func(before, after *blocks.Block) {
		switch {
		case after == nil:
			e.remove(before.Prefix)
		case before == nil || before.Site != after.Site:
			e.set(*after)
		}
	})
	return e.finish()
}

// WithSites returns a table with the same blocks and new sites. There must be at least as many sites as before.
func (t *Table) WithSites(sites []blocks.Site) *Table {
	c := *t
	c.sites = sites
	return &c
}

// WithoutBlock returns a table without the block of a prefix. It shares the unchanged pages with t.
func (t *Table) WithoutBlock(prefix netip.Prefix) *Table {
	e := newEditor(t)
	e.remove(prefix)
	return e.finish()
}

// find implements Find for a client with key k.
func (t *Table) find(client netip.Addr, k uint64) (int, bool) {
	if t.long.Size() > 0 {
		if site, ok := t.long.Lookup(client); ok {
			return int(site), true
		}
	}
	p, ok := t.pages.Lookup(client)
	if !ok {
		// The pages cover all valid addresses.
		return 0, false
	}
	if site, ok := p.find(k); ok {
		return int(site), true
	}
	site, ok := t.short.Lookup(client)
	return int(site), ok
}

// replace replaces the page of a prefix by a page of these entries, or by several pages if they do not fit into one.
func (t *Table) replace(prefix netip.Prefix, entries []entry) {
	if len(entries) <= maxPageBlocks {
		t.pages = t.pages.InsertPersist(prefix, newPage(prefix.Bits(), entries))
		return
	}
	t.pages = t.pages.DeletePersist(prefix)
	s := splitter{page: func(prefix netip.Prefix, p *page) {
		t.pages = t.pages.InsertPersist(prefix, p)
	}, short: func(prefix netip.Prefix, site uint8) {
		t.short = t.short.InsertPersist(prefix, site)
		t.size--
	}}
	s.split(prefix, entries)
}

// endsBelow reports whether the addresses of all blocks in the page of a prefix are below an address.
func endsBelow(prefix netip.Prefix, address netip.Addr) bool {
	if prefix.Addr().Is4() != address.Is4() {
		return prefix.Addr().Is4()
	}
	last := key(prefix.Addr()) | ^uint64(0)>>prefix.Bits()
	return last < key(address)
}

// entryOf returns the page entry of a block.
func entryOf(b blocks.Block) entry {
	return entry{bits: uint8(b.Prefix.Bits()), key: key(b.Prefix.Addr()), site: b.Site}
}

// key returns the keyBits leading bits of an address. An IPv4 address is padded with zeros on the right.
func key(a netip.Addr) uint64 {
	if a.Is4() {
		b := a.As4()
		return uint64(binary.BigEndian.Uint32(b[:])) << 32
	}
	b := a.As16()
	return binary.BigEndian.Uint64(b[:])
}
