package pubsub

// Option configures a Subscriber.
type Option func(*Subscriber)

// WithRingSize sets the maximum number of messages queued for one subscription.
func WithRingSize(n int) Option {
	return func(s *Subscriber) { s.ringSize = n }
}
