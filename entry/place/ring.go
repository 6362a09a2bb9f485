package place

import "ebonyrouter.dev/entry/spread"

const (
	// ringPoints is the number of points that the targets of a service have together if a key has one position, unless the
	// service has more slots.
	ringPoints = 2048
	// pointsPerSlot is the number of points for each slot if a key has several positions. It does not depend on the number of
	// targets, so that no other keys move when targets are added or removed.
	pointsPerSlot = 4
)

// newRing returns the ring of a part of the targets of a service that has the given number of slots. The points of a target
// are in proportion to its slots and do not depend on the part, so that rings of different parts can be merged.
func newRing(targets []*target, serviceSlots, probes int) *spread.Ring {
	members := make([]spread.Member, len(targets))
	for i, t := range targets {
		members[i] = spread.Member{Hash: t.hash, Weight: t.Slots}
	}
	perSlot := pointsPerSlot
	if probes <= 1 {
		// A power of two changes rarely; any other number of points would move keys whenever a target joins or leaves.
		perSlot = 1
		for perSlot*serviceSlots < ringPoints {
			perSlot *= 2
		}
	}
	return spread.New(members, perSlot, probes)
}
