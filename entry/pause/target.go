package pause

import (
	"time"

	"ebonyrouter.dev/core"
)

// maxRetryAfter bounds the time that one response can ask for. A longer one is most likely an error, and a target that is still busy
// then asks again.
const maxRetryAfter = 30 * time.Second

// Target is what one start of a target has asked for. The zero value has asked for nothing. It is not safe for concurrent use.
type Target struct {
	leaving bool
	until   core.Instant
}

// Active reports whether nothing new may be sent to the target now.
func (t *Target) Active(now core.Instant) bool {
	return t.leaving || now.Before(t.until)
}

// Leaving reports whether the target has said that it is leaving. It stays so until the target starts again.
func (t *Target) Leaving() bool { return t.leaving }

// Record adds what a response that has arrived now asks for. Responses may arrive in another order than they were sent, so that none
// shortens what another one asks for.
func (t *Target) Record(request core.PauseRequest, now core.Instant) {
	t.leaving = t.leaving || request.Leaving
	if request.RetryAfter > 0 {
		t.until = max(t.until, now.Add(min(request.RetryAfter, maxRetryAfter)))
	}
}

// Remaining returns the time after which the target may be used again, or 0 if it may be used now or is leaving.
func (t *Target) Remaining(now core.Instant) time.Duration {
	if t.leaving {
		return 0
	}
	return max(0, t.until.Sub(now))
}
