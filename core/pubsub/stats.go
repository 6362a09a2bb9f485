package pubsub

// Stats counts the messages of a Subscriber that were not acknowledged.
type Stats struct {
	// Dropped counts messages that were dropped because the ring of a subscription was full.
	Dropped int64
	// Invalid counts messages that could not be decoded.
	Invalid int64
	// Nacked counts messages that a handler rejected; they are not redelivered.
	Nacked int64
}
