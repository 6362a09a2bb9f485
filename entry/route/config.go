package route

import "ebonyrouter.dev/core"

// Config holds the settings and dependencies of a Router; all fields are required.
type Config struct {
	// Host is the name of the local host.
	Host      string
	Links     core.Links
	Load      core.LoadSource
	Ownership core.OwnershipView
	Region    string
	Settings  core.SettingsSource
	Timer     core.Timer
	Zone      string
}
