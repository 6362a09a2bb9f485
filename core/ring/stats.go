package ring

// Stats counts the accepted, dropped and rejected entries of a Ring since its creation.
type Stats struct {
	Accepted int64
	Dropped  int64
	Rejected int64
}
