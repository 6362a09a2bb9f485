package main

import (
	"errors"
	"net"
	"time"
)

// result is the end of a request as its caller saw it.
type result int

const (
	// resultAnswered is a complete response.
	resultAnswered result = iota
	// resultCut is a connection that ended without a complete response.
	resultCut
	// resultTimeout is a response that the caller has not waited for.
	resultTimeout
	// resultNotSent is a connection that could not be opened or written to.
	resultNotSent
	// resultForeign is a response that is not the one of the request.
	resultForeign
)

// request is one attempt of a caller.
type request struct {
	class  *class
	host   *host
	id     string
	sent   time.Time
	ended  time.Time
	result result
	status int
	// kept means that the connection had carried a request before.
	kept bool
	// behind is the number of requests on the connection that were sent before and not answered yet.
	behind int
	cause  string
}

// fail records the end of a request without a complete response.
func (r *request) fail(err error) {
	r.result, r.cause = resultCut, err.Error()
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		r.result = resultTimeout
	}
}
