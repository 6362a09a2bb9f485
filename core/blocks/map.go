package blocks

import (
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// Map is a client block map; its blocks are in the order of Compare.
type Map struct {
	Blocks []Block
	Sites  []Site
}

// Encode returns the form of the map in the store; blocks are sorted in place.
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
	s.all(m.Blocks)
	s.finish()
	e := &Encoded{Index: Index{Parts: s.refs, Sites: m.Sites}, Parts: s.parts}
	if err := e.Index.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	var err error
	e.content, e.version, err = e.Index.Encode()
	if len(e.content) > core.MaxObjectBytes {
		return nil, errors.Errorf("index of %d bytes, at most %d", len(e.content), core.MaxObjectBytes)
	}
	return e, err
}

// Find returns the longest block that contains an address.
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
