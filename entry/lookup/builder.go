package lookup

import (
	"net/netip"

	"github.com/gaissmai/bart"
	"github.com/juju/errors"

	"ebonyrouter.dev/core/blocks"
)

// Builder builds a Table from the parts of a block map. It reads one part at a time, so that only one needs to be in memory.
type Builder struct {
	entries4 []entry
	entries6 []entry
	previous blocks.Block
	table    *Table
}

// NewBuilder returns a builder of a table with these sites and no blocks.
func NewBuilder(sites []blocks.Site) *Builder {
	return &Builder{table: newTable(sites)}
}

// Add adds the blocks of a part. Parts must be added in ascending order; after an error the builder must not be used.
func (b *Builder) Add(part *blocks.PartReader) error {
	part.SetPrevious(b.previous)
	for {
		block, ok, err := part.Next()
		if err != nil || !ok {
			return errors.Trace(err)
		}
		b.previous = block
		b.insert(block)
	}
}

// Table returns the finished table; the builder must not be used afterwards.
func (b *Builder) Table() *Table {
	t := b.table
	// newTable adds one empty page for each address family. If the blocks need several pages, the empty page would remain beside
	// them, and later changes of blocks that cover several pages would go into it, where no lookup finds these blocks.
	t.pages = &bart.Fast[*page]{}
	s := splitter{page: func(prefix netip.Prefix, p *page) {
		t.pages.Insert(prefix, p)
		t.size += int(p.count)
	}, short: t.short.Insert}
	s.split(netip.MustParsePrefix("0.0.0.0/0"), b.entries4)
	s.split(netip.MustParsePrefix("::/0"), b.entries6)
	return t
}

// insert adds a block to the long blocks of the table or to the entries that Table splits into pages.
func (b *Builder) insert(block blocks.Block) {
	switch {
	case block.Prefix.Bits() > keyBits:
		b.table.long.Insert(block.Prefix, block.Site)
	case block.Prefix.Addr().Is4():
		b.entries4 = append(b.entries4, entryOf(block))
	default:
		b.entries6 = append(b.entries6, entryOf(block))
	}
}
