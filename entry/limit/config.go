package limit

import "ebonyrouter.dev/core"

// Config holds what a Limiter needs; all fields are required.
type Config struct {
	Lease    core.Lease
	Region   string
	Settings core.SettingsSource
	Timer    core.Timer
	Zone     string
}
