package proxy

import "context"

// racer is one of two attempts that run at the same time.
type racer struct {
	cancel context.CancelFunc
	done   chan *reply
}

// abandon cancels the attempt and waits for its end.
func (r *racer) abandon() {
	r.cancel()
	rp := <-r.done
	rp.done(false, false)
}

// take makes rp the result of the race; its context ends with the reply.
func (r *racer) take(rp *reply) *reply {
	if rp.conn == nil {
		r.cancel()
		return rp
	}
	rp.cancel = r.cancel
	return rp
}
