package ring

// Entry is one element of a Ring. A droppable entry may be discarded when the ring overflows.
type Entry struct {
	Droppable bool
	Value     any
}
