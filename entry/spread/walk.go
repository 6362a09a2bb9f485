package spread

// cursor is the next point of one position of a key; offset is the distance from the position to the point.
type cursor struct {
	offset   uint64
	position uint64
	index    int32
}

// Walk visits the points of a ring in the order of their distance from the positions of a key.
type Walk struct {
	ring    *Ring
	cursors [MaxProbes]cursor
}

// Next returns the member of the next point and the point's distance, by which the walks of rings with equal numbers of points per
// weight can be merged. A member may come more than once. The ring must have a point.
func (w *Walk) Next() (member int, offset uint64) {
	best := &w.cursors[0]
	for n := 1; n < w.ring.probes; n++ {
		if w.cursors[n].offset < best.offset {
			best = &w.cursors[n]
		}
	}
	member, offset = int(w.ring.points[best.index].member), best.offset
	best.index++
	if int(best.index) == len(w.ring.points) {
		best.index = 0
	}
	best.offset = w.ring.points[best.index].position - best.position
	return member, offset
}
