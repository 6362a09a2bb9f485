package blocks

import (
	"github.com/juju/errors"
)

// PartReader decodes and checks the blocks of one part.
type PartReader struct {
	// entry is the position of the next entry.
	entry int
	// previous is the block that the next one must follow; its prefix is invalid before the first block of a map.
	previous  Block
	remaining []byte
	sites     int
}

// NewPartReader returns a reader of a part of a map with the given number of sites. It returns an error if the part does not
// start with the expected magic bytes.
func NewPartReader(part []byte, sites int) (*PartReader, error) {
	if len(part) < len(partMagic) || string(part[:len(partMagic)]) != partMagic {
		return nil, errors.Errorf("part of %d bytes does not start with %q", len(part), partMagic)
	}
	return &PartReader{remaining: part[len(partMagic):], sites: sites}, nil
}

// SetPrevious sets the last block of the preceding part. The reader returns an error if the next block does not follow it.
func (r *PartReader) SetPrevious(last Block) {
	r.previous = last
}

// ReadAll reads and returns the remaining blocks.
func (r *PartReader) ReadAll() ([]Block, error) {
	var all []Block
	for {
		b, ok, err := r.Next()
		if err != nil || !ok {
			return all, err
		}
		all = append(all, b)
	}
}

// Next returns the next block, or false at the end of the part. An error names the position of the invalid entry.
func (r *PartReader) Next() (Block, bool, error) {
	if len(r.remaining) == 0 {
		return Block{}, false, nil
	}
	b, err := r.block()
	if err != nil {
		return Block{}, false, errors.Annotatef(err, "entry %d", r.entry)
	}
	r.entry++
	r.previous = b
	return b, true, nil
}

// block decodes the next entry and checks its block.
func (r *PartReader) block() (Block, error) {
	if len(r.remaining) < entryHeaderBytes {
		return Block{}, errors.New("truncated")
	}
	code := r.remaining[0]
	bits := int(code)
	if code >= codeIPv6 {
		bits -= codeIPv6
	}
	if code > 32 && code < codeIPv6 || code > maxCodeIPv6 {
		return Block{}, errors.Errorf("invalid prefix length code %d", code)
	}
	size := entryHeaderBytes + addressBytes(bits)
	if len(r.remaining) < size {
		return Block{}, errors.New("truncated")
	}
	b := Block{Prefix: decodePrefix(code, r.remaining[entryHeaderBytes:size]), Site: r.remaining[1]}
	if err := b.Check(r.sites); err != nil {
		return Block{}, errors.Annotatef(err, "%v", b.Prefix)
	}
	if r.previous.Prefix.IsValid() && Compare(r.previous, b) >= 0 {
		return Block{}, errors.Errorf("%v does not follow %v in order", b.Prefix, r.previous.Prefix)
	}
	r.remaining = r.remaining[size:]
	return b, nil
}
