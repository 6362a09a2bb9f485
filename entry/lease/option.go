package lease

import (
	"time"

	"go.uber.org/zap"
)

// Option changes one property of a Holder.
type Option func(*Holder)

// WithChanges sets the function that is called when other objects are owned than before; it may call Owns and nothing
// else of the holder.
func WithChanges(changes func()) Option {
	return func(h *Holder) { h.changes = changes }
}

// WithDeadline sets the function that returns the longest deadline of the service of an object.
func WithDeadline(deadline func(object string) time.Duration) Option {
	return func(h *Holder) { h.deadline = deadline }
}

// WithInUse sets the function that counts the uses of an object in flight. A use counts from before its call of Owns,
// or a release could overtake it.
func WithInUse(inUse func(object string) int) Option {
	return func(h *Holder) { h.inUse = inUse }
}

// WithLogger sets the logger of events.
func WithLogger(log *zap.Logger) Option {
	return func(h *Holder) { h.log = log }
}

// WithRejoin sets the function that is told the new incarnation after a revocation.
func WithRejoin(rejoin func(incarnation string)) Option {
	return func(h *Holder) { h.rejoin = rejoin }
}
