package proxy

import (
	"context"
	"net/http"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// attemptResult is the result of one attempt: a response whose body is still unread, or a failure.
type attemptResult struct {
	// cancel ends the context of an attempt that ran in its own goroutine.
	cancel        context.CancelFunc
	code          codes.Code
	conn          *conn
	informational []*http.Response
	failure       *failure
	// final means that no further attempt can help.
	final bool
	ran   core.Ran
	// load is what a target reported with the response, if hasLoad is set.
	load    core.TargetLoad
	hasLoad bool
	// retryable means that the target failed an idempotent request, which another target may serve.
	retryable bool
	// otherTarget means that another target has the address.
	otherTarget bool
	release     func(core.Outcome)
	response    *http.Response
	sentAt      core.Instant
	// shed means that an upstream, not one of our processes, rejected the request.
	shed       bool
	stopCancel func() bool
	// closedWhileIdle means that a kept-alive connection closed before the response, as idle ones do.
	closedWhileIdle bool
	// bodyUnread means that the caller's body has not been read for this attempt.
	bodyUnread bool
	upload     *upload
}

// finish ends the attempt: the connection is kept when the exchange was complete, and permissions are given back. The slot
// of a request that was given up is held until the target has stopped it.
func (r *attemptResult) finish(complete, failed bool) {
	if r.conn == nil {
		return
	}
	cancelled := !r.stopCancel()
	uploaded := r.upload.finish(r.conn)
	reusable := complete && !cancelled && uploaded && !r.response.Close && r.conn.reader.Buffered() == 0
	shed := r.response != nil && r.ran == core.RanNo
	outcome := core.Outcome{
		Failed: failed, HasLoad: r.hasLoad, Latency: r.conn.timer.Now().Sub(r.sentAt), Load: r.load, OtherTarget: r.otherTarget, Shed: shed,
	}
	c := r.conn
	r.conn = nil
	switch {
	case reusable:
		c.pool.put(c)
	case !complete && !shed && c.mayStillRun():
		outcome.Held = true
	default:
		c.pool.close(c)
	}
	if r.cancel != nil {
		r.cancel()
	}
	r.release(outcome)
	if outcome.Held {
		go func() {
			c.awaitTargetEnd()
			r.release(core.Outcome{})
		}()
	}
}

// rejected reports whether the attempt certainly did not run the request.
func (r *attemptResult) rejected() bool {
	return r.ran == core.RanNo
}
