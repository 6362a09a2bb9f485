package dedup

// Stats counts the work of a Deduper; Ops divided by Writes is the average number of ops per write.
type Stats struct {
	// Ops counts ops whose result was decided.
	Ops int64
	// Writes counts writes to the store, including those that conflicted.
	Writes int64
}
