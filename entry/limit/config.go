package limit

import "ebonyrouter.dev/core"

// Config holds the dependencies and the location of a Limiter; all fields are required.
type Config struct {
	Lease    core.Lease
	Region   string
	Settings core.SettingsSource
	Timer    core.Timer
	Zone     string
}
