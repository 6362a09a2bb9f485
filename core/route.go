package core

import "context"

// HopKind is the role of the next process on the path of a request.
type HopKind string

// Kinds of hops.
const (
	// HopLocal means that this process owns a suitable target.
	HopLocal HopKind = "local"
	// HopOwner means that the peer owns suitable targets and may queue the request.
	HopOwner HopKind = "owner"
	// HopGateway means that the peer owns the cap of the shift to Region and relays the request there.
	HopGateway HopKind = "gateway"
)

// Hop is the next process for one attempt of a request; Peer is empty for HopLocal.
type Hop struct {
	Kind   HopKind
	Peer   Host
	Region string
}

// RouteRequest describes an attempt for which a Router chooses the next hop.
type RouteRequest struct {
	AdmitRequest
	// TriedHosts names hosts that already rejected or failed this request.
	TriedHosts []string
	// ToRegion is set when this process is the gateway and must choose an owner in that region.
	ToRegion string
}

// Router chooses the next hop of a request from ownership, shift caps and load reports.
type Router interface {
	// Route returns the next hop, or a *RejectedError if no permitted hop remains.
	Route(request RouteRequest) (Hop, error)
}

// Shifter enforces the caps of the shifts that this process owns.
type Shifter interface {
	// ReserveShift reserves one request of the shift. It returns a *RejectedError if the cap is reached or if this process
	// does not own the shift.
	ReserveShift(service, from, to string) (ShiftGrant, error)
}

// ShiftGrant is permission to send one request to another region, once Admit has succeeded.
type ShiftGrant interface {
	// Admit counts the request against the cap; it is called immediately before the first byte is sent, and returns a
	// *RejectedError if the cap has been reached since the reservation.
	Admit() error
	// PaceRequest waits until n bytes of the request may cross the link between the regions. It returns an error if ctx ends
	// or the shift has no bandwidth.
	PaceRequest(ctx context.Context, n int) error
	// PaceResponse waits until n bytes of the response may cross the link between the regions. It returns an error if ctx
	// ends or the shift has no bandwidth.
	PaceResponse(ctx context.Context, n int) error
	// Release reports the outcome, from which the ramp of the shift decides whether to grow.
	Release(outcome Outcome)
	// ValidUntil returns the end of the lease; no byte may be sent to the other region at or after it.
	ValidUntil() Instant
}

// RetryBudget limits retries and hedges to a share of the recent first attempts.
type RetryBudget interface {
	// AllowHedge takes one hedge from the budget of service, or returns false if the budget is used up.
	AllowHedge(service string) bool
	// AllowRetry takes one retry from the budget of service, or returns false if the budget is used up.
	AllowRetry(service string) bool
	// RecordAttempt counts one first attempt of service.
	RecordAttempt(service string)
}

// HeaderHomeRegions is set on relayed requests that may run in some regions only and lists these, separated by commas.
const HeaderHomeRegions = "Ebony-Home-Regions"

// HeaderToRegion is set on requests relayed to a gateway and names the destination region.
const HeaderToRegion = "Ebony-To-Region"
