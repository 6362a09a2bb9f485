package lookup

import (
	"net/netip"

	"ebonyrouter.dev/core/blocks"
)

// changer changes blocks of a table that no look-up uses yet. Changes in the order of the blocks that fall into one page
// cost one new page.
type changer struct {
	// at is the prefix of the page whose blocks are in entries; it is invalid between two pages.
	at      netip.Prefix
	count   int
	entries []entry
	table   *Table
}

// newChanger returns a changer of a copy of t; all parts that do not change are shared.
func newChanger(t *Table) *changer {
	c := *t
	return &changer{table: &c}
}

// finish returns the changed table; the changer must not be used any more.
func (c *changer) finish() *Table {
	c.flush()
	return c.table
}

// remove takes out a block if it is there. Pages that become small are not joined before the next build.
func (c *changer) remove(prefix netip.Prefix) {
	switch {
	case prefix.Bits() > keyBits:
		c.table.long = c.table.long.DeletePersist(prefix)
	case !c.open(prefix):
		c.table.short = c.table.short.DeletePersist(prefix)
	default:
		c.entries = without(c.entries, entryOf(blocks.Block{Prefix: prefix}))
	}
}

// set adds a valid block or changes its site.
func (c *changer) set(b blocks.Block) {
	switch {
	case b.Prefix.Bits() > keyBits:
		c.table.long = c.table.long.InsertPersist(b.Prefix, b.Site)
	case !c.open(b.Prefix):
		c.table.short = c.table.short.InsertPersist(b.Prefix, b.Site)
	default:
		c.entries = with(c.entries, entryOf(b))
	}
}

// flush writes the page that is open.
func (c *changer) flush() {
	if !c.at.IsValid() {
		return
	}
	c.table.size += len(c.entries) - c.count
	c.table.replace(c.at, c.entries)
	c.at = netip.Prefix{}
}

// open makes the page that holds a block the open one, or returns false if the block covers several pages. A page that has
// grown to twice its largest size is written, which splits it, so that a change copies a bounded number of entries.
func (c *changer) open(prefix netip.Prefix) bool {
	if c.at.IsValid() && c.at.Bits() <= prefix.Bits() && c.at.Contains(prefix.Addr()) && len(c.entries) < 2*maxPage {
		return true
	}
	c.flush()
	at, p, ok := c.table.pages.LookupPrefixLPM(prefix)
	if !ok {
		return false
	}
	c.at, c.count, c.entries = at, int(p.count), p.entries(key(at.Addr()))
	return true
}
