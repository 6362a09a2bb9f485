package proxy

import (
	"context"
	"net/http"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// attemptResult is the result of one attempt: a response with an unread body, or a failure.
type attemptResult struct {
	// cancel cancels the context of an attempt that ran in its own goroutine.
	cancel        context.CancelFunc
	code          codes.Code
	conn          *conn
	informational []*http.Response
	failure       *failure
	// final means that no further attempt can succeed.
	final bool
	ran   core.Ran
	// load is the load that the target reported with its response; it is valid if hasLoad is set.
	load    core.TargetLoad
	hasLoad bool
	// retryable means that the target failed an idempotent request, which another target may be able to serve.
	retryable bool
	// otherTarget means that a different target now uses the address.
	otherTarget bool
	// pause is what the target asked for with its response.
	pause core.PauseRequest
	// release releases the grant of the attempt.
	release  func(core.Outcome)
	response *http.Response
	sentAt   core.Instant
	// shed means that an upstream rejected the request, as opposed to an entry process.
	shed bool
	// stopCancel detaches the exchange from its context; it returns false if the exchange was already cancelled.
	stopCancel func() bool
	// closedWhileIdle means that a reused connection broke before the response, which happens when the other end closes
	// an idle connection.
	closedWhileIdle bool
	// bodyUnread means that this attempt did not read the caller's body.
	bodyUnread bool
	upload     *upload
	// waited is the time for which the response has waited for earlier ones of the caller's connection.
	waited time.Duration
}

// finish ends the attempt, returns its connection to the pool if the exchange was complete, and releases its grant. If
// the target may still be running a request that was given up, its slot is released only when the target has stopped.
func (r *attemptResult) finish(complete, failed bool) {
	if r.conn == nil {
		return
	}
	cancelled := !r.stopCancel()
	uploaded := r.upload.finish(r.conn)
	reusable := complete && !cancelled && uploaded && !r.response.Close && r.conn.reader.Buffered() == 0
	shed := r.response != nil && r.ran == core.RanNo
	outcome := core.Outcome{
		Failed: failed, HasLoad: r.hasLoad, Latency: r.conn.timer.Now().Sub(r.sentAt) - r.waited, Load: r.load, OtherTarget: r.otherTarget, Shed: shed,
	}
	c := r.conn
	r.conn = nil
	switch {
	case reusable:
		c.pool.put(c)
	case !complete && !shed && c.mayStillRun():
		outcome.Abandoned = true
	default:
		c.pool.close(c)
	}
	if r.cancel != nil {
		r.cancel()
	}
	r.release(outcome)
	if outcome.Abandoned {
		go func() {
			c.awaitTargetEnd()
			r.release(core.Outcome{})
		}()
	}
}

// provenNotRun reports whether it is certain that the attempt did not run the request.
func (r *attemptResult) provenNotRun() bool {
	return r.ran == core.RanNo
}
