package spread

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// MaxProbes bounds the positions at which a key is looked up.
	MaxProbes = 16
	// probeStep separates the positions of a key. It is odd, so that all of them differ.
	probeStep = 0x9e3779b97f4a7c15
	// pointStep separates the points of a member.
	pointStep = 1099511628211
)

// point is one of the positions of a member on a ring.
type point struct {
	position uint64
	member   int32
}

// Ring orders members for keys by consistent hashing. A key has several positions and prefers the member whose point follows one of
// them most closely, which evens out the random distances between the points.
type Ring struct {
	points []point
	probes int
	// first holds the index of the first point at or after each of equal parts of the ring, and shift the width of a part.
	first []int32
	shift int
}

// New returns a ring on which each member has pointsPerWeight points per unit of its weight, and each key the given number of
// positions, which is between 1 and MaxProbes.
func New(members []Member, pointsPerWeight, probes int) *Ring {
	r := &Ring{probes: min(MaxProbes, max(1, probes))}
	for i, m := range members {
		for n := range uint64(max(1, m.Weight) * max(1, pointsPerWeight)) { //nolint:gosec // The product is positive.
			r.points = append(r.points, point{position: mix(m.Hash + n*pointStep), member: int32(i)}) //nolint:gosec // Few members.
		}
	}
	slices.SortFunc(r.points, func(a, b point) int { return cmp.Compare(a.position, b.position) })
	r.buildIndex()
	return r
}

// buildIndex divides the ring into about as many parts as it has points.
func (r *Ring) buildIndex() {
	width := bits.Len(uint(len(r.points)))
	r.shift = 64 - width
	r.first = make([]int32, 1<<width+1)
	i := 0
	for part := range r.first {
		for i < len(r.points) && part < len(r.first)-1 && r.points[i].position < uint64(part)<<r.shift { //nolint:gosec // Not negative.
			i++
		}
		r.first[part] = int32(i) //nolint:gosec // Few points.
	}
	r.first[len(r.first)-1] = int32(len(r.points)) //nolint:gosec // Few points.
}

// Len returns the number of points.
func (r *Ring) Len() int {
	return len(r.points)
}

// index returns the index of the first point at or after a position, which is 0 beyond the last one.
func (r *Ring) index(position uint64) int {
	i := int(r.first[position>>r.shift])
	for i < len(r.points) && r.points[i].position < position {
		i++
	}
	if i == len(r.points) {
		return 0
	}
	return i
}

// Walk returns the members for a key in the order in which it prefers them.
func (r *Ring) Walk(key uint64) Walk {
	w := Walk{ring: r}
	if len(r.points) == 0 {
		return w
	}
	for n := range r.probes {
		position := key
		if n > 0 {
			position = mix(key + uint64(n)*probeStep) //nolint:gosec // Not negative.
		}
		i := r.index(position)
		w.cursors[n] = cursor{index: int32(i), position: position, offset: r.points[i].position - position} //nolint:gosec // Few points.
	}
	return w
}

// mix applies the 64-bit finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
