package core

import (
	"time"

	"ebonyrouter.dev/core/codes"
)

// Observer records the result of each finished request in metrics; it must not block.
type Observer interface {
	// ObserveRequest is called after the response, once per request in each process that handles it.
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
