package owner

import (
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Option changes one property of Documents.
type Option func(*Documents)

// WithAdvice sets the function that takes advice to the local entry process.
func WithAdvice(advice func(core.LeaseAdvice)) Option {
	return func(d *Documents) { d.onAdvice = advice }
}

// WithBackoff sets the wait before the given repetition of a write, counted from 1.
func WithBackoff(backoff func(attempt int) time.Duration) Option {
	return func(d *Documents) { d.backoff = backoff }
}

// WithChangeID sets the function that returns a new unique change id.
func WithChangeID(newID func() string) Option {
	return func(d *Documents) { d.newID = newID }
}

// WithHeard sets the view of the hosts that are not suspected; without it no host is suspected.
func WithHeard(heard core.HostView) Option {
	return func(d *Documents) { d.heard = heard }
}

// WithLogger sets the logger of events.
func WithLogger(log *zap.Logger) Option {
	return func(d *Documents) { d.log = log }
}

// WithOnChange sets the function that is told each newer document; wrote means that this steer wrote it and the
// steers of the region have to be told as well.
func WithOnChange(onChange func(document core.Ownership, wrote bool)) Option {
	return func(d *Documents) { d.onChange = onChange }
}
