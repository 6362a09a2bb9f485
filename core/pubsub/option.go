package pubsub

// Option changes a Subscriber under construction.
type Option func(*Subscriber)

// WithRingSize sets the number of messages that may wait for one subscription.
func WithRingSize(n int) Option {
	return func(s *Subscriber) { s.ringSize = n }
}
