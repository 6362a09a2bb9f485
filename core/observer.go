package core

import (
	"time"

	"ebonyrouter.dev/core/codes"
)

// Observer receives the result of each finished request for metrics; it must not block.
type Observer interface {
	// ObserveRequest is called once per request and process, after the response.
	ObserveRequest(report RequestReport)
}

// RequestReport describes one finished request; Relayed means that it came from another entry process.
type RequestReport struct {
	Class   string
	Code    codes.Code
	Latency time.Duration
	Ran     Ran
	Relayed bool
	Service string
	Tenant  string
}
