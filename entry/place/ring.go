package place

import (
	"cmp"
	"slices"
)

// ringPoints is the number of points that the targets of a service have together, unless it has more slots.
const ringPoints = 2048

// point is one of the positions of a target on a ring.
type point struct {
	position uint64
	target   *target
}

// ring orders targets by consistent hashing: the targets for a key are those that follow its position. A target that joins
// or leaves changes the order for few keys.
type ring []point

// newRing returns the ring of a part of the targets of a service that has the given number of slots. The points of a target
// are in proportion to its slots and do not depend on the part, so that rings of different parts can be merged.
func newRing(targets []*target, serviceSlots int) ring {
	// A power of two changes rarely; any other number of points would move keys whenever a target joins or leaves.
	perSlot := 1
	for perSlot*serviceSlots < ringPoints {
		perSlot *= 2
	}
	var r ring
	for _, t := range targets {
		for i := range uint64(perSlot * max(1, t.Slots)) { //nolint:gosec // The product is positive.
			r = append(r, point{position: mix(t.hash + i*fnvPrime), target: t})
		}
	}
	slices.SortFunc(r, func(a, b point) int { return cmp.Compare(a.position, b.position) })
	return r
}

// index returns the index of the first point at or after the position of a key; it is len(r) beyond the last point.
func (r ring) index(key uint64) int {
	i, _ := slices.BinarySearchFunc(r, key, func(p point, key uint64) int { return cmp.Compare(p.position, key) })
	return i
}
