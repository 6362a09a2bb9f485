package dedup

// ForwarderStats counts the calls of a Forwarder by path.
type ForwarderStats struct {
	// Fallbacks counts calls that were retried locally, because no usable response of the preferred writer arrived.
	Fallbacks int64
	// Handled counts calls received from other processes.
	Handled int64
	// Local counts calls that were made locally, because this process is the preferred writer or there is none.
	Local int64
	// Sent counts calls that were sent to the preferred writer.
	Sent int64
}
