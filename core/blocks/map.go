package blocks

import (
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// Map is a client block map: it assigns blocks of client addresses to sites. Blocks are sorted by Compare.
type Map struct {
	Blocks []Block
	Sites  []Site
}

// Encode validates the map and returns it in its store format; it sorts the blocks in place.
func (m *Map) Encode() (*Encoded, error) {
	if err := checkSites(m.Sites); err != nil {
		return nil, errors.Trace(err)
	}
	slices.SortFunc(m.Blocks, Compare)
	for i, b := range m.Blocks {
		if err := b.Check(len(m.Sites)); err != nil {
			return nil, errors.Annotatef(err, "block %d (%v)", i, b.Prefix)
		}
		if i > 0 && Compare(m.Blocks[i-1], b) == 0 {
			return nil, errors.Errorf("block %d (%v): listed twice", i, b.Prefix)
		}
	}
	s := splitter{parts: map[string][]byte{}}
	s.splitAll(m.Blocks)
	s.finish()
	e := &Encoded{Index: Index{Parts: s.refs, Sites: m.Sites}, Parts: s.parts}
	if err := e.Index.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	var err error
	e.indexContent, e.version, err = e.Index.Encode()
	if len(e.indexContent) > core.MaxObjectBytes {
		return nil, errors.Errorf("block index has %d bytes, more than the limit of %d", len(e.indexContent), core.MaxObjectBytes)
	}
	return e, err
}

// Find returns the block with the longest prefix that contains an address, or false if there is none.
func (m *Map) Find(client netip.Addr) (Block, bool) {
	client = client.Unmap().WithZone("")
	for bits := client.BitLen(); bits >= 0; bits-- {
		p, err := client.Prefix(bits)
		if err != nil {
			break
		}
		if i, ok := slices.BinarySearchFunc(m.Blocks, Block{Prefix: p}, Compare); ok {
			return m.Blocks[i], true
		}
	}
	return Block{}, false
}
