package config

import "ebonyrouter.dev/core"

// Change is a new settings tree that is to replace revision Base.
type Change struct {
	Author   string
	Base     int64
	Message  string
	Settings core.Settings
	// UnixMs is the time of the change in the history, in Unix milliseconds.
	UnixMs int64
}
