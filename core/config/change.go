package config

import "ebonyrouter.dev/core"

// Change is a new tree that an operator wants to be accepted in place of revision Base.
type Change struct {
	Author   string
	Base     int64
	Message  string
	Settings core.Settings
	// UnixMs is the time of the change for the history, in milliseconds.
	UnixMs int64
}
