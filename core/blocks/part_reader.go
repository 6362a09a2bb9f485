package blocks

import (
	"github.com/juju/errors"
)

// PartReader reads the blocks of one encoded part.
type PartReader struct {
	entry int
	last  Block
	rest  []byte
	sites int
}

// NewPartReader checks the start of a part of a map with this number of sites and returns a reader of its blocks.
func NewPartReader(part []byte, sites int) (*PartReader, error) {
	if len(part) < len(partMagic) || string(part[:len(partMagic)]) != partMagic {
		return nil, errors.Errorf("part of %d bytes does not start with %q", len(part), partMagic)
	}
	return &PartReader{rest: part[len(partMagic):], sites: sites}, nil
}

// After makes the reader refuse a block that does not follow last, the last block of the part before.
func (r *PartReader) After(last Block) {
	r.last = last
}

// All returns the blocks that were not read yet.
func (r *PartReader) All() ([]Block, error) {
	var all []Block
	for {
		b, ok, err := r.Next()
		if err != nil || !ok {
			return all, err
		}
		all = append(all, b)
	}
}

// Next returns the next block, false at the end, or an error that names the offending entry.
func (r *PartReader) Next() (Block, bool, error) {
	if len(r.rest) == 0 {
		return Block{}, false, nil
	}
	b, err := r.block()
	if err != nil {
		return Block{}, false, errors.Annotatef(err, "entry %d", r.entry)
	}
	r.entry++
	r.last = b
	return b, true, nil
}

func (r *PartReader) block() (Block, error) {
	if len(r.rest) < entryHeader {
		return Block{}, errors.New("truncated")
	}
	code := r.rest[0]
	bits := int(code)
	if code >= bitsIPv6 {
		bits -= bitsIPv6
	}
	if code > 32 && code < bitsIPv6 || code > bitsIPv6Full {
		return Block{}, errors.Errorf("prefix length code %d", code)
	}
	size := entryHeader + addressBytes(bits)
	if len(r.rest) < size {
		return Block{}, errors.New("truncated")
	}
	b := Block{Prefix: prefix(code, r.rest[entryHeader:size]), Site: r.rest[1]}
	if err := b.Check(r.sites); err != nil {
		return Block{}, errors.Annotatef(err, "%v", b.Prefix)
	}
	if r.last.Prefix.IsValid() && Compare(r.last, b) >= 0 {
		return Block{}, errors.Errorf("%v does not follow %v in order", b.Prefix, r.last.Prefix)
	}
	r.rest = r.rest[size:]
	return b, nil
}
