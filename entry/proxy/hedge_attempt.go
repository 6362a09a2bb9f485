package proxy

import "context"

// hedgeAttempt is one of two attempts that run at the same time.
type hedgeAttempt struct {
	cancel context.CancelFunc
	done   chan *attemptResult
}

// abandon cancels the attempt and waits for its end.
func (r *hedgeAttempt) abandon() {
	r.cancel()
	result := <-r.done
	result.finish(false, false)
}

// accept makes result the result of the race; its context ends with the reply.
func (r *hedgeAttempt) accept(result *attemptResult) *attemptResult {
	if result.conn == nil {
		r.cancel()
		return result
	}
	result.cancel = r.cancel
	return result
}
