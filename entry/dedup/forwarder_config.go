package dedup

import (
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// ForwarderConfig holds the dependencies of a Forwarder; all fields are required.
type ForwarderConfig struct {
	// Host is the name of this process's host.
	Host  string
	Hosts core.HostView
	Links core.Links
	// Local records attempts in the store without a preferred writer.
	Local *Deduper
	Log   *zap.Logger
	// Region is this process's region. Its hosts are the candidate writers if the settings name no store region.
	Region   string
	Settings core.SettingsSource
	Timer    core.Timer
}
