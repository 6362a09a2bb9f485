package core

import "time"

// PausableGrant is implemented by grants whose admitter keeps targets out of use that ask for it in their responses.
type PausableGrant interface {
	// Paused reports whether the target has asked that nothing new is sent to it, possibly after the grant was made.
	Paused() bool
	// RecordPause records what a response of the target asks for, as soon as its head has arrived.
	RecordPause(request PauseRequest)
}

// PauseRequest is what a target asks for in a response; the zero value asks for nothing.
type PauseRequest struct {
	// Leaving means that the target is leaving and must get nothing new until it starts again.
	Leaving bool
	// RetryAfter is the time for which the target must get nothing new, or 0.
	RetryAfter time.Duration
}
