package fleet

// Option configures a Deployment before any of its processes starts.
type Option func(*Deployment)

// WithLogLevel sets the log level of the processes of all hosts.
func WithLogLevel(level string) Option {
	return func(d *Deployment) { d.logLevel = level }
}

// WithFailureLog logs the last size bytes of the output of the store and of each host process if the test fails.
func WithFailureLog(size int) Option {
	return func(d *Deployment) { d.failureLogBytes = size }
}
