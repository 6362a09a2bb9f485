package dedup

import (
	"encoding/binary"
	"slices"
)

// index holds the sorted 8-byte prefixes of the hashed keys in a sealed segment. A match must be verified in the segment.
type index []uint64

func newIndex(records []record) index {
	x := make(index, 0, len(records))
	for i := range records {
		x = append(x, binary.BigEndian.Uint64(records[i].Key))
	}
	slices.Sort(x)
	return x
}

// mayContain reports whether the segment may contain a record for key.
func (x index) mayContain(key []byte) bool {
	_, found := slices.BinarySearch(x, binary.BigEndian.Uint64(key))
	return found
}
