package ring

// Stats counts what happened to the entries of a Ring since it was made.
type Stats struct {
	Accepted int64
	Dropped  int64
	Rejected int64
}
