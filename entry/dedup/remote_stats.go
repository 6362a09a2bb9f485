package dedup

// RemoteStats counts the calls of a Remote by the path that they took.
type RemoteStats struct {
	// Fallbacks counts calls that the preferred writer did not answer and that were repeated locally.
	Fallbacks int64
	// Handled counts calls of other processes.
	Handled int64
	// Local counts calls without another preferred writer.
	Local int64
	// Sent counts calls that were sent to another preferred writer.
	Sent int64
}
