package links

// Stats holds the counters of all links of a Manager since its creation.
type Stats struct {
	BadFrames int64
	BadTokens int64
	// Dropped counts droppable frames that were dropped because a send ring was full.
	Dropped int64
	// LateReplies counts replies without a matching pending request.
	LateReplies int64
	Opened      int64
	// Received counts received bytes including frame headers.
	Received int64
	// Rejected counts frames that were not queued because a send ring was full.
	Rejected int64
	// Unresponsive counts connections that were closed as unresponsive.
	Unresponsive int64
}
