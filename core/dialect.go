package core

import (
	"net/http"
	"time"
)

// Dialect reads and writes the headers that the callers and upstreams of a deployment use.
type Dialect interface {
	// ReadResponse interprets the status and headers of a target's response to an attempt.
	ReadResponse(status int, header http.Header) UpstreamResponse
	// ReadRequest interprets the headers of a caller's request; it must not modify them.
	ReadRequest(header http.Header) (CallerRequest, error)
	// Prepare adds the headers of an attempt to header, which is forwarded to the target. If the settings require keys, it also removes
	// the caller's key and replaces the customer's name that the caller sent.
	Prepare(header http.Header, attempt UpstreamAttempt)
	// SetRetryAfter sets in header the time after which the caller may retry a request that was not run.
	SetRetryAfter(header http.Header, retryAfter time.Duration)
}

// CallerRequest holds the values from the headers of a caller's request; a zero value means that the header is absent.
type CallerRequest struct {
	AffinityKey string
	Deadline    time.Duration
	RequestID   string
}

// UpstreamAttempt describes one attempt for the headers that are sent to a target.
type UpstreamAttempt struct {
	// Customer is the name of the request's customer, or empty if it has none.
	Customer string
	// KeysRequired means that the settings require keys.
	KeysRequired bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
	TargetID  string
}

// UpstreamResponse holds the values from the status and headers of a target's response.
type UpstreamResponse struct {
	Load    TargetLoad
	HasLoad bool
	// NotRun means that the target states that it did not run the request.
	NotRun bool
	// OtherTarget means that another target now uses the address.
	OtherTarget bool
	// Pause is what the target asks for.
	Pause PauseRequest
	// RequestID identifies the request that the response belongs to, or is empty if the response has no ID.
	RequestID string
	// Unverified means that the response reports success without the headers that prove that it comes from a target.
	Unverified bool
}
