package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// defaultMaxAttempts limits the attempts of the process that received the caller's request, unless its route has a
	// limit.
	defaultMaxAttempts = 4
	// maxRelayedAttempts limits the attempts at a relayed request, so that the two limits multiply to at most 8.
	maxRelayedAttempts = 2
)

// discard closes the response of a result that is not used. It returns a failure with the code, status and Retry-After
// of that response.
func (p *Proxy) discard(result *attemptResult) *attemptResult {
	if result.failure != nil {
		return result
	}
	seconds, err := strconv.Atoi(result.response.Header.Get("Retry-After"))
	if err != nil {
		seconds = 1
	}
	fail := &failure{
		code:       result.code,
		ran:        result.ran,
		retryAfter: time.Duration(seconds) * time.Second,
		status:     result.response.StatusCode,
		text:       "the upstream or the peer answered with status " + strconv.Itoa(result.response.StatusCode),
	}
	if result.pause.RetryAfter > 0 {
		fail.retryAfter = result.pause.RetryAfter
	}
	result.finish(false, false)
	return &attemptResult{failure: fail, ran: fail.ran}
}

// mayRetry reports whether another attempt may follow. A request that was proven not to have run may be retried; the
// retry budget applies only if an upstream rejected it. Any other failed attempt may be retried if the request is
// idempotent and not relayed, within the retry budget. It also records in req whether the failed attempt may have run
// the request.
func (p *Proxy) mayRetry(ctx context.Context, req *request, result *attemptResult, attempts int) bool {
	if result.ran == core.RanYes && !result.retryable {
		return false
	}
	req.recordRan(result)
	finished := result.final || ctx.Err() != nil || !p.Timer.Now().Before(req.deadline)
	if finished || attempts >= req.maxAttempts() || (req.streamed && !result.bodyUnread) {
		return false
	}
	switch result.ran {
	case core.RanNo:
		return !result.shed || p.Budget.AllowRetry(req.service)
	case core.RanUnknown, core.RanYes:
		return !req.relayed() && req.idempotent() && p.Budget.AllowRetry(req.service)
	default:
		return false
	}
}

// isRejection reports whether status is one that rejects a request without running it.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
