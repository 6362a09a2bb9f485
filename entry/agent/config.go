package agent

import (
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Config holds the dependencies of an Agent.
type Config struct {
	// Adopter applies decoded documents.
	Adopter Adopter
	// InUse returns the number of in-flight uses of each owned object.
	InUse func() map[string]int
	// InFlight returns the number of in-flight requests of callers.
	InFlight func() int
	// Lease is the lease of this process.
	Lease Lease
	// LeaseAddresses returns the link addresses of the processes that confirm leases together with this one.
	LeaseAddresses func() []string
	Links          core.Links
	// Load returns the load of the owned targets by service.
	Load func() map[string]core.ServiceLoad
	Log  *zap.Logger
	// Messages carries messages to and from the steer and notices of new documents. Load reports are sent over the links
	// directly, because they are frequent and an old report is useless.
	Messages core.Messenger
	// PeerSteers holds the link addresses of other steers, which are used while the steer of this host does not respond.
	PeerSteers []string
	// Registration returns the registration of this process.
	Registration func() core.Host
	Settings     core.SettingsSource
	// SteerAddress is the link address of the steer of this host.
	SteerAddress string
	Timer        core.Timer
	// HandleLoad is called with each load report of a peer.
	HandleLoad func(report core.LoadReport)
}

// Adopter applies decoded documents.
type Adopter interface {
	// AdoptOwnership applies a newer ownership document.
	AdoptOwnership(ownership core.Ownership)
	// AdoptSettings applies a newer settings revision. After an error the old revision stays in force.
	AdoptSettings(update core.SettingsUpdate) error
}

// Lease is the lease of this process and its view of the ownership documents.
type Lease interface {
	core.Lease
	core.OwnershipView
	// Incarnation returns the incarnation under which the process is a member of its region.
	Incarnation() string
	// SetOwnership adopts an ownership document unless a newer one for the region was adopted.
	SetOwnership(document core.Ownership)
}
