package place

import (
	"slices"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

var _ core.Router = (*Router)(nil)

// Router routes every request to this process; requests are never relayed to other hosts.
type Router struct {
	// Host is the name of this host.
	Host string
}

// Route implements core.Router.Route.
func (r *Router) Route(request core.RouteRequest) (core.Hop, error) {
	if slices.Contains(request.TriedHosts, r.Host) {
		return core.Hop{}, &core.RejectedError{Code: codes.NoPermittedTarget, RetryAfter: noTargetRetryAfter, Text: "no other target is left"}
	}
	return core.Hop{Kind: core.HopLocal}, nil
}
