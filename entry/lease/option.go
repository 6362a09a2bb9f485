package lease

import (
	"time"

	"go.uber.org/zap"
)

// Option configures a Holder.
type Option func(*Holder)

// WithOnChange sets the function that is called when the owned objects or their states change. It may call Owns, but no
// other method of the holder.
func WithOnChange(onChange func()) Option {
	return func(h *Holder) { h.onChange = onChange }
}

// WithMaxDeadline sets the function that returns the longest request deadline of an object's service.
func WithMaxDeadline(maxDeadline func(object string) time.Duration) Option {
	return func(h *Holder) { h.maxDeadline = maxDeadline }
}

// WithInUse sets the function that counts the in-flight requests that use an object. A request has to be counted before
// it calls Owns; otherwise the object could be released in between.
func WithInUse(inUse func(object string) int) Option {
	return func(h *Holder) { h.inUse = inUse }
}

// WithLogger sets the logger of events.
func WithLogger(log *zap.Logger) Option {
	return func(h *Holder) { h.log = log }
}

// WithOnRejoin sets the function that is called with the new incarnation after a revocation.
func WithOnRejoin(onRejoin func(incarnation string)) Option {
	return func(h *Holder) { h.onRejoin = onRejoin }
}
