package pubsub

// Option changes a Subscriber under construction.
type Option func(*Subscriber)

// WithRing sets the number of messages that may wait for one subscription.
func WithRing(n int) Option {
	return func(s *Subscriber) { s.ringSize = n }
}
