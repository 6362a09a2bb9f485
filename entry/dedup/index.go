package dedup

import (
	"encoding/binary"
	"slices"
)

// index holds the sorted 8-byte prefixes of the keys of a sealed segment; a match is checked in the segment.
type index []uint64

func newIndex(records []record) index {
	x := make(index, 0, len(records))
	for i := range records {
		x = append(x, binary.BigEndian.Uint64(records[i].Key))
	}
	slices.Sort(x)
	return x
}

// mayHave reports whether the segment may have a record of key.
func (x index) mayHave(key []byte) bool {
	_, found := slices.BinarySearch(x, binary.BigEndian.Uint64(key))
	return found
}
