package lookup

import (
	"net/netip"

	"github.com/gaissmai/bart"
	"github.com/juju/errors"

	"ebonyrouter.dev/core/blocks"
)

// Builder makes a Table from the parts of a block map, one part at a time, so that only one part need be in memory.
type Builder struct {
	entries4 []entry
	entries6 []entry
	last     blocks.Block
	table    *Table
}

// NewBuilder returns an empty builder of a table with these sites.
func NewBuilder(sites []blocks.Site) *Builder {
	return &Builder{table: newTable(sites)}
}

// Add reads the next part in order; after an error the builder must not be used any more.
func (b *Builder) Add(part *blocks.PartReader) error {
	part.After(b.last)
	for {
		block, ok, err := part.Next()
		if err != nil || !ok {
			return errors.Trace(err)
		}
		b.last = block
		b.insert(block)
	}
}

// Table returns the finished table; the builder must not be used any more.
func (b *Builder) Table() *Table {
	t := b.table
	// The pages of an empty table would take the changes of blocks that cover several pages, where no look-up finds them.
	t.pages = &bart.Fast[*page]{}
	s := splitter{page: func(at netip.Prefix, p *page) {
		t.pages.Insert(at, p)
		t.size += int(p.count)
	}, short: t.short.Insert}
	s.split(netip.MustParsePrefix("0.0.0.0/0"), b.entries4)
	s.split(netip.MustParsePrefix("::/0"), b.entries6)
	return t
}

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
