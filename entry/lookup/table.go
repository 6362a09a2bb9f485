package lookup

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
	"github.com/juju/errors"

	"ebonyrouter.dev/core/blocks"
)

// keyBits is the number of leading address bits that a page entry holds.
const keyBits = 64

// Table maps client blocks to sites by the longest matching prefix; a table that is in use never changes.
//
// One bart entry per block took 40 to 52 bytes per block, depending on how the blocks lie, and a look-up waited for main
// memory at three levels. So bart finds a page of up to maxPage blocks instead. The pages have disjoint prefixes that
// cover all addresses; there are so few of them that bart.Fast takes 0.1 MB more for them than bart.Table, and a fifth less
// time. A block is in the page that contains it; the few blocks that cover several pages are in short, and those longer
// than keyBits are in long.
type Table struct {
	long  *bart.Table[uint8]
	pages *bart.Fast[*page]
	short *bart.Table[uint8]
	sites []blocks.Site
	size  int
}

func newTable(sites []blocks.Site) *Table {
	t := &Table{long: &bart.Table[uint8]{}, pages: &bart.Fast[*page]{}, short: &bart.Table[uint8]{}, sites: sites}
	for _, all := range []string{"0.0.0.0/0", "::/0"} {
		t.pages.Insert(netip.MustParsePrefix(all), newPage(0, nil))
	}
	return t
}

// Blocks returns the blocks whose address is from or above and below end, in order; an invalid end is above all addresses.
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
	for at, p := range t.pages.All() {
		if end.IsValid() && !at.Addr().Less(end) || endsBelow(at, from) {
			continue
		}
		for _, e := range p.entries(key(at.Addr())) {
			add(e.prefix(at.Addr().Is4()), e.site)
		}
	}
	slices.SortFunc(found, blocks.Compare)
	return found
}

// Find returns the index of the site of the longest block that contains client, which must not be IPv4 in IPv6 form.
func (t *Table) Find(client netip.Addr) (int, bool) {
	return t.find(client, key(client))
}

// Len returns the number of blocks.
func (t *Table) Len() int {
	return t.size + t.long.Size() + t.short.Size()
}

// Sites returns the sites in the order of their indexes; the slice must not be modified.
func (t *Table) Sites() []blocks.Site {
	return t.sites
}

// With returns a table in which b is set; all parts that did not change are shared.
func (t *Table) With(b blocks.Block) (*Table, error) {
	if err := b.Check(len(t.sites)); err != nil {
		return nil, errors.Annotatef(err, "block %v", b.Prefix)
	}
	c := newChanger(t)
	c.set(b)
	return c.finish(), nil
}

// WithChanges returns a table in which the blocks of changed, which are valid, replace those of old; both are in order.
func (t *Table) WithChanges(old, changed []blocks.Block) *Table {
	c := newChanger(t)
	blocks.Walk(old, changed, func(before, after *blocks.Block) {
		switch {
		case after == nil:
			c.remove(before.Prefix)
		case before == nil || before.Site != after.Site:
			c.set(*after)
		}
	})
	return c.finish()
}

// WithSites returns a table with the same blocks and other sites, at least as many.
func (t *Table) WithSites(sites []blocks.Site) *Table {
	c := *t
	c.sites = sites
	return &c
}

// Without returns a table from which prefix is removed; all parts that did not change are shared.
func (t *Table) Without(prefix netip.Prefix) *Table {
	c := newChanger(t)
	c.remove(prefix)
	return c.finish()
}

// find does Find for a client whose key is k.
func (t *Table) find(client netip.Addr, k uint64) (int, bool) {
	if t.long.Size() > 0 {
		if site, ok := t.long.Lookup(client); ok {
			return int(site), true
		}
	}
	p, ok := t.pages.Lookup(client)
	if !ok {
		// Only an invalid address is in no page.
		return 0, false
	}
	if site, ok := p.find(k); ok {
		return int(site), true
	}
	site, ok := t.short.Lookup(client)
	return int(site), ok
}

// replace sets the page at a prefix, or the halves into which it is split.
func (t *Table) replace(at netip.Prefix, entries []entry) {
	if len(entries) <= maxPage {
		t.pages = t.pages.InsertPersist(at, newPage(at.Bits(), entries))
		return
	}
	t.pages = t.pages.DeletePersist(at)
	s := splitter{page: func(at netip.Prefix, p *page) {
		t.pages = t.pages.InsertPersist(at, p)
	}, short: func(at netip.Prefix, site uint8) {
		t.short = t.short.InsertPersist(at, site)
		t.size--
	}}
	s.split(at, entries)
}

// endsBelow reports whether all block addresses within a page's prefix are below an address.
func endsBelow(at netip.Prefix, address netip.Addr) bool {
	if at.Addr().Is4() != address.Is4() {
		return at.Addr().Is4()
	}
	last := key(at.Addr()) | ^uint64(0)>>at.Bits()
	return last < key(address)
}

func entryOf(b blocks.Block) entry {
	return entry{bits: uint8(b.Prefix.Bits()), key: key(b.Prefix.Addr()), site: b.Site}
}

// key returns the leading bits of an address; those of an IPv4 address are followed by zeros.
func key(a netip.Addr) uint64 {
	if a.Is4() {
		b := a.As4()
		return uint64(binary.BigEndian.Uint32(b[:])) << 32
	}
	b := a.As16()
	return binary.BigEndian.Uint64(b[:])
}
