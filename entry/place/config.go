package place

import (
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Config holds the settings and dependencies of a Placer.
type Config struct {
	// Host, Region and Zone describe this process.
	Host   string
	Region string
	Zone   string
	Log    *zap.Logger
	// MaxRemoteStep limits how much the share of requests that are served remotely may change between two consecutive windows
	// of 2 s. It does not concern the shifts in the settings.
	MaxRemoteStep float64
	// HostNames returns the names of all registered hosts of a region, including this one, or of all regions if region is empty.
	HostNames func(region string) []string
	// RandomInt returns a random number below n; it is rand.Int64N if it is nil.
	RandomInt func(n int64) int64
	// Refusals counts rejected requests; it may be nil.
	Refusals core.RefusalObserver
	Registry core.TargetRegistry
	Settings core.SettingsSource
	Timer    core.Timer
	// ZoneRTT and RegionRTT are the round-trip times to another availability zone and to another region.
	ZoneRTT   time.Duration
	RegionRTT time.Duration
}
