package dedup

// Stats counts the work of a Deduper; Ops by Writes is how well writes are grouped.
type Stats struct {
	// Ops counts decided calls.
	Ops int64
	// Writes counts writes of the store, including those that conflicted.
	Writes int64
}
