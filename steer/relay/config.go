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
	// Unchanged returns what this host has checked of the kinds in an era of the store, for the hosts that ask it; it may be nil.
	Unchanged func(era int64) []core.UnchangedKind
	// MaxAge is the time up to which a relay is trusted since it last knew the newest state of a kind. Responses for other kinds do
	// not count: they come also while the connection of one watch is silent.
	MaxAge time.Duration
}
