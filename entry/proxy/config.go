package proxy

import (
	"net"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Config holds the dependencies and options of a Proxy. Deduper, Dialect, Feedback, Freshness, Load, Log, Observer and Quotas are
// optional.
type Config struct {
	Admitter core.Admitter
	Budget   core.RetryBudget
	Deduper  core.Deduper
	// Dialect translates the headers of callers and targets; nil selects the Ebony headers.
	Dialect core.Dialect
	// Feedback receives the loads and rejections found in the responses of peers.
	Feedback core.RouteFeedback
	// Freshness is asked for a proof of recent settings before a request with an API key is accepted and before each of its attempts.
	Freshness core.FreshnessChecker
	// Load supplies the service loads that are sent to peers in responses.
	Load core.LoadSource
	Log  *zap.Logger
	// LogRequests logs one line for each finished request.
	LogRequests bool
	Observer    core.Observer
	// Memory bounds the bodies and the parts of responses that are held; nil means unbounded.
	Memory core.MemoryBudget
	// PrefetchBytes is the part of a response that is read before its head is sent to the caller; 0 streams responses
	// immediately.
	PrefetchBytes int64
	// Quotas counts each request with an API key against the quota of its customer.
	Quotas core.QuotaLimiter
	Router core.Router
	// Self is the registration of this process; only Host, Region and Zone are used.
	Self     core.Host
	Settings core.SettingsSource
	Shifter  core.Shifter
	// Source is the local address of connections to peers and targets; nil lets the system choose.
	Source net.Addr
	Timer  core.Timer
}
