package core

// Ran states whether an upstream has run a request.
type Ran string

// Values of the Ebony-Ran header.
const (
	// RanNo means that no upstream has run the request and none will.
	RanNo Ran = "no"
	// RanYes means that an upstream responded to the request.
	RanYes Ran = "yes"
	// RanUnknown means that an upstream may have run the request.
	RanUnknown Ran = "unknown"
)

// Headers that ebonyrouter reads from requests of callers and adds to responses.
const (
	HeaderClass          = "Ebony-Class"
	HeaderCode           = "Ebony-Code"
	HeaderDeadline       = "Ebony-Deadline-Ms"
	HeaderRan            = "Ebony-Ran"
	HeaderRequestID      = "Ebony-Request-Id"
	HeaderService        = "Ebony-Service"
	HeaderTenant         = "Ebony-Tenant"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers that entry processes add to relayed requests; they are removed from requests of callers.
const (
	HeaderAttempt    = "Ebony-Attempt"
	HeaderHops       = "Ebony-Hops"
	HeaderFromRegion = "Ebony-From-Region"
)
