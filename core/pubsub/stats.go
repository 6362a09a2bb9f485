package pubsub

// Stats counts the messages of a Subscriber that no handler acknowledged.
type Stats struct {
	Dropped int64
	Invalid int64
	Nacked  int64
}
