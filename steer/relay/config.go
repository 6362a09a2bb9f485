package relay

import (
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Config holds the dependencies of a Relay.
type Config struct {
	Links core.Links
	Log   *zap.Logger
	// Relays returns the link addresses of the live relays of the zone in the order in which hosts ask them, including this host if
	// it is one.
	Relays func() []string
	// Self is the link address of this host.
	Self  string
	Timer core.Timer
	// MaxAge is the time since its last contact with the store up to which a relay is trusted.
	MaxAge time.Duration
}
