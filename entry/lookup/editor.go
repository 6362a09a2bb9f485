package lookup

import (
	"net/netip"

	"ebonyrouter.dev/core/blocks"
)

// editor changes blocks in a copy of a table before lookups use it. Successive changes within the same page create only one
// new page, so changes are cheapest in the order of blocks.Compare.
type editor struct {
	// prefix is the prefix of the open page, whose blocks are in entries. It is invalid if no page is open.
	prefix netip.Prefix
	// oldCount is the number of blocks in the open page before the changes.
	oldCount int
	entries  []entry
	table    *Table
}

// newEditor returns an editor of a copy of t, which shares the unchanged pages with t.
func newEditor(t *Table) *editor {
	copied := *t
	return &editor{table: &copied}
}

// finish returns the changed table; the editor must not be used afterwards.
func (e *editor) finish() *Table {
	e.flush()
	return e.table
}

// remove removes the block of a prefix if there is one. Small pages are not merged; only a new build does that.
func (e *editor) remove(prefix netip.Prefix) {
	switch {
	case prefix.Bits() > keyBits:
		e.table.long = e.table.long.DeletePersist(prefix)
	case !e.open(prefix):
		e.table.short = e.table.short.DeletePersist(prefix)
	default:
		e.entries = removeEntry(e.entries, entryOf(blocks.Block{Prefix: prefix}))
	}
}

// set adds a block or changes its site. The block must be valid.
func (e *editor) set(b blocks.Block) {
	switch {
	case b.Prefix.Bits() > keyBits:
		e.table.long = e.table.long.InsertPersist(b.Prefix, b.Site)
	case !e.open(b.Prefix):
		e.table.short = e.table.short.InsertPersist(b.Prefix, b.Site)
	default:
		e.entries = setEntry(e.entries, entryOf(b))
	}
}

// flush writes the open page to the table and closes it.
func (e *editor) flush() {
	if !e.prefix.IsValid() {
		return
	}
	e.table.size += len(e.entries) - e.oldCount
	e.table.replace(e.prefix, e.entries)
	e.prefix = netip.Prefix{}
}

// open opens the page for the block of a prefix, or returns false if the block covers several pages. It first flushes the open
// page if the block is not in it. It also flushes, and so splits, an open page that has grown to twice the maximum size, so
// that each change copies a bounded number of entries.
func (e *editor) open(prefix netip.Prefix) bool {
	if e.prefix.IsValid() && e.prefix.Bits() <= prefix.Bits() && e.prefix.Contains(prefix.Addr()) && len(e.entries) < 2*maxPageBlocks {
		return true
	}
	e.flush()
	pagePrefix, p, ok := e.table.pages.LookupPrefixLPM(prefix)
	if !ok {
		return false
	}
	e.prefix, e.oldCount, e.entries = pagePrefix, int(p.count), p.entries(key(pagePrefix.Addr()))
	return true
}
