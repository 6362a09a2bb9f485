package route

import "ebonyrouter.dev/core"

// Config holds what a Router needs; all fields are required.
type Config struct {
	// Host is the name of the own host.
	Host      string
	Links     core.Links
	Load      core.LoadSource
	Ownership core.OwnershipView
	Region    string
	Settings  core.SettingsSource
	Timer     core.Timer
	Zone      string
}
