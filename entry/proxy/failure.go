package proxy

import (
	"fmt"
	"net/http"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// failure is the error of a request or an attempt that has no usable response.
type failure struct {
	code       codes.Code
	ran        core.Ran
	retryAfter time.Duration
	status     int
	text       string
}

// Error implements error.
func (f *failure) Error() string {
	return fmt.Sprintf("%s (code %d, ran %s)", f.text, f.code, f.ran)
}

// callerError returns the failure of a request that is rejected because of an error of the caller.
func callerError(status int, code codes.Code, text string) *failure {
	return &failure{code: code, ran: core.RanNo, status: status, text: text}
}

// notRun returns the failure of a request that was not run and may be retried after one second.
func notRun(code codes.Code, text string) *failure {
	return &failure{code: code, ran: core.RanNo, retryAfter: time.Second, status: http.StatusServiceUnavailable, text: text}
}
