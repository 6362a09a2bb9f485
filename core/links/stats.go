package links

// Stats counts what happened on all links of a Manager since it was made.
type Stats struct {
	BadFrames   int64
	BadTokens   int64
	Dropped     int64
	LateReplies int64
	Opened      int64
	// Received is in bytes, with frame headers.
	Received int64
	Rejected int64
	Silent   int64
}
