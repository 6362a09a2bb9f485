package fleet

// Option changes a Deployment before it starts.
type Option func(*Deployment)

// WithLogLevel sets the level from which hosts write log events.
func WithLogLevel(level string) Option {
	return func(d *Deployment) { d.logLevel = level }
}

// WithFailureLog shows the last size bytes of the output of the store and of each process of the hosts when the test fails.
func WithFailureLog(size int) Option {
	return func(d *Deployment) { d.failureLog = size }
}
