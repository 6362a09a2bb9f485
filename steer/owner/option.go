package owner

import (
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Option configures Documents.
type Option func(*Documents)

// WithOnAdvice sets the function that sends advice to the local entry process.
func WithOnAdvice(onAdvice func(core.LeaseAdvice)) Option {
	return func(d *Documents) { d.onAdvice = onAdvice }
}

// WithBackoff sets the function that returns the wait before a retry of a write; attempt counts the retries from 1.
func WithBackoff(backoff func(attempt int) time.Duration) Option {
	return func(d *Documents) { d.backoff = backoff }
}

// WithChangeID sets the function that returns a new unique change ID.
func WithChangeID(newID func() string) Option {
	return func(d *Documents) { d.newID = newID }
}

// WithLiveHosts sets the view of the hosts that are not suspected; by default no host is suspected.
func WithLiveHosts(liveHosts core.HostView) Option {
	return func(d *Documents) { d.liveHosts = liveHosts }
}

// WithLogger sets the logger of events.
func WithLogger(log *zap.Logger) Option {
	return func(d *Documents) { d.log = log }
}

// WithOnChange sets the function that is called with each newer document; wrote means that this steer wrote it and has
// to send it to the steers of the region.
func WithOnChange(onChange func(document core.Ownership, wrote bool)) Option {
	return func(d *Documents) { d.onChange = onChange }
}
