package agent

import (
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Config holds the parts that an Agent works with.
type Config struct {
	// Adopt puts decoded documents in force.
	Adopt Adopter
	// InUse counts the uses in flight of each owned object.
	InUse func() map[string]int
	// InFlight counts the requests of callers in progress.
	InFlight func() int
	// Lease is the holder of this process.
	Lease Lease
	// LeaseLinks returns the link addresses of the processes that confirm leases together with this one.
	LeaseLinks func() []string
	Links      core.Links
	// Load returns the load of the owned targets by service.
	Load func() map[string]core.ServiceLoad
	Log  *zap.Logger
	// Messages carries messages to and from the steer and documents' notices; load reports go over the links directly,
	// because they are many and an old one is worth nothing.
	Messages core.Messenger
	// Peers are the link addresses of other steers, asked while the own steer does not answer.
	Peers []string
	// Registration returns the registration of this process.
	Registration func() core.Host
	Settings     core.SettingsSource
	// Steer is the link address of the steer of this host.
	Steer string
	Timer core.Timer
	// Update receives the load reports of peers.
	Update func(report core.LoadReport)
}

// Adopter puts documents in force after they were decoded.
type Adopter interface {
	// AdoptOwnership puts a newer ownership document in force.
	AdoptOwnership(ownership core.Ownership)
	// AdoptSettings puts a newer revision in force, or returns an error that keeps the old one.
	AdoptSettings(update core.SettingsUpdate) error
}

// Lease is what the agent reports about the lease of this process.
type Lease interface {
	core.Lease
	core.OwnershipView
	// Incarnation returns the name under which the process takes part.
	Incarnation() string
	// SetOwnership adopts an ownership document unless a newer one of the region is known.
	SetOwnership(document core.Ownership)
}
