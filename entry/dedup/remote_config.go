package dedup

import (
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// RemoteConfig holds what a Remote needs; all fields are required.
type RemoteConfig struct {
	// Host is the name of this process's host.
	Host  string
	Hosts core.HostView
	Links core.Links
	// Local records attempts without the preferred writer.
	Local *Deduper
	Log   *zap.Logger
	// Region is this process's region, whose hosts are the writers if settings name no region of the store.
	Region   string
	Settings core.SettingsSource
	Timer    core.Timer
}
