package core

import "time"

// HeldResponse is implemented by response writers that hold a response until the earlier responses of its connection have been sent.
type HeldResponse interface {
	// Discard drops the response and its headers if its head was not sent yet, so that another response can replace it. It reports
	// whether it did.
	Discard() bool
	// WaitedForTurn returns how long calls of the handler have blocked until earlier responses were sent.
	WaitedForTurn() time.Duration
}
