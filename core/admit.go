package core

import (
	"context"
	"fmt"
	"time"

	"ebonyrouter.dev/core/codes"
)

// AdmitRequest describes a request that asks for a slot of a target owned by this process.
type AdmitRequest struct {
	// AffinityKey identifies the object of the request, or is empty. Targets respond faster to recently served keys.
	AffinityKey string
	Class       string
	Deadline    Instant
	FromRegion  string
	// NonIdempotent means that the request must not serve as a probe of a target that may still be failing.
	NonIdempotent bool
	Service       string
	Tenant        string
	// LatencyObjective is the instant after which a response has less value to the caller, or 0 if only the deadline counts.
	LatencyObjective Instant
	// Avoid lists the targets that have already failed for this request.
	Avoid []string
	// HomeRegions lists the only regions in which the request may run; an empty list permits every region.
	HomeRegions []string
	// Priority is the rank of the request; 0 is the highest.
	Priority int64
	// RequestID identifies the request in logs.
	RequestID string
	// Route is the name of the request's route, or empty. Requests of one route are expected to have similar latencies.
	Route string
}

// Admitter grants slots of the targets that this process owns.
type Admitter interface {
	// Admit waits in the queue of the service until a slot is free. It returns a *RejectedError if the request is not run.
	Admit(ctx context.Context, request AdmitRequest) (Grant, error)
}

// Grant is permission to send one request to a target. It is unrelated to the grantors of leases, which confirm the lease
// of a member.
type Grant interface {
	// Release returns the slot and records the outcome for the health of the target. A call with an
	// Abandoned outcome records it but keeps the slot until the next call. Calls after the slot is returned do nothing.
	Release(outcome Outcome)
	// Target returns the target that the grant is for.
	Target() TargetRef
	// ValidUntil returns the end of the lease; no byte may be written to the target at or after it.
	ValidUntil() Instant
}

// Outcome is the result of one attempt, from which the health of its target is judged.
type Outcome struct {
	// Failed means a failure of the target: no connection, timeout, broken response or 5xx.
	Failed bool
	// Abandoned means that the attempt was abandoned and that the request may still run at the target.
	Abandoned bool
	Latency   time.Duration
	// Load is the load that the target reported with its response, valid if HasLoad is set.
	Load    TargetLoad
	HasLoad bool
	// OtherTarget means that another target now uses the address, so the request was not run.
	OtherTarget bool
	// Shed means that the target rejected the request as not run.
	Shed bool
}

// TargetRef identifies one upstream target. Address is an IP address with port.
type TargetRef struct {
	Address     string
	Connections int
	Service     string
	Slots       int
	Target      string
	Zone        string
}

// RejectedError is the error of a request that was rejected before it was run. RetryAfter is how long the caller should
// wait before it retries.
type RejectedError struct {
	Code       codes.Code
	RetryAfter time.Duration
	Text       string
}

// Error implements error.Error.
func (r *RejectedError) Error() string {
	return fmt.Sprintf("request rejected (code %d): %s", r.Code, r.Text)
}
