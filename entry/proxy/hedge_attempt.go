package proxy

import "context"

// hedgeAttempt is one of two concurrent attempts at the same request.
type hedgeAttempt struct {
	cancel context.CancelFunc
	done   chan *attemptResult
}

// abandon cancels the attempt, waits for it and discards its result.
func (h *hedgeAttempt) abandon() {
	h.cancel()
	result := <-h.done
	result.finish(false, false)
}

// accept returns result as the one to use. The attempt's context stays valid until the result is finished.
func (h *hedgeAttempt) accept(result *attemptResult) *attemptResult {
	if result.conn == nil {
		h.cancel()
		return result
	}
	result.cancel = h.cancel
	return result
}
