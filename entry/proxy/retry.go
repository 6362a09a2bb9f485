package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// maxAttempts bounds the attempts of the process that the caller reached.
	maxAttempts = 4
	// maxRelayedAttempts bounds the attempts for a relayed request, so that attempts multiply to 8 at most.
	maxRelayedAttempts = 2
)

// discard gives up a reply that is followed by another attempt and keeps what the caller must be told.
func (p *Proxy) discard(result *attemptResult) *attemptResult {
	if result.failure != nil {
		return result
	}
	seconds, err := strconv.Atoi(result.response.Header.Get("Retry-After"))
	if err != nil {
		seconds = 1
	}
	fault := &failure{
		code:       result.code,
		ran:        result.ran,
		retryAfter: time.Duration(seconds) * time.Second,
		status:     result.response.StatusCode,
		text:       "the upstream or the peer answered with status " + strconv.Itoa(result.response.StatusCode),
	}
	result.finish(false, false)
	return &attemptResult{failure: fault, ran: fault.ran}
}

// mayRetry decides whether another attempt may follow: always only after proof that the request was not run,
// or for idempotent requests within the retry budget.
func (p *Proxy) mayRetry(ctx context.Context, req *request, result *attemptResult, attempts int) bool {
	if result.ran == core.RanYes && !result.retryable {
		return false
	}
	req.recordRan(result)
	over := result.final || ctx.Err() != nil || !p.Timer.Now().Before(req.deadline)
	if over || attempts >= req.maxAttempts() || (req.streamed && !result.bodyUnread) {
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

// isRejection reports whether the status is one with which a request is rejected as not run.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
