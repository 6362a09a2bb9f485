package dedup

import (
	"context"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// maxOutcomeWaits bounds the Begins of a process that wait for the outcome of another attempt; further ones are
	// answered at once. The waits of other hosts leave half of the handlers of a link free.
	maxOutcomeWaits = RemoteHandlers / 2
	// firstPoll is the first interval at which a running record is looked up again, for outcomes that another process
	// writes. It is longer than the recording of an outcome takes as a rule: a link and two writes of the store.
	firstPoll = 100 * time.Millisecond
	// maxPolls bounds the repeated look-ups of one request. Each interval is twice the one before, 1.5 s in all and
	// 3.1 s if the last one waits in this process. Over links of 55 ms the record of an attempt that was rejected as not
	// run was closed up to 1.9 s later.
	maxPolls = 4
)

// outcomeWait is joined by the callers that wait for an outcome of one key.
type outcomeWait struct {
	callers int
	// written is closed when this process has written an outcome or a release.
	written chan struct{}
}

// await waits for an outcome that this process writes, and reports whether one was written in time. It leaves two
// thirds of the caller's time for the next decision, which takes two store calls.
func (d *Deduper) await(ctx context.Context, o *op, w *outcomeWait, wait time.Duration) bool {
	defer d.shard(o).leave(o, w)
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/3)
	}
	if wait <= 0 {
		return false
	}
	select {
	case <-w.written:
		return true
	case <-d.config.Timer.After(wait):
	case <-d.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// join adds the caller of an op to those that wait, or returns nil if too many do; the caller holds the mutex.
func (s *shard) join(o *op) *outcomeWait {
	if s.deduper.waiting.Add(1) > maxOutcomeWaits {
		s.deduper.waiting.Add(-1)
		return nil
	}
	w := s.waits[string(o.key)]
	if w == nil {
		w = &outcomeWait{written: make(chan struct{})}
		s.waits[string(o.key)] = w
	}
	w.callers++
	return w
}

// leave removes the caller of an op from those that wait.
func (s *shard) leave(o *op, w *outcomeWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deduper.waiting.Add(-1)
	w.callers--
	if w.callers == 0 && s.waits[string(o.key)] == w {
		delete(s.waits, string(o.key))
	}
}

// wakeWaiting ends the waits for an outcome of the key of an op; the caller holds the mutex.
func (s *shard) wakeWaiting(o *op) {
	if w := s.waits[string(o.key)]; w != nil {
		close(w.written)
		delete(s.waits, string(o.key))
	}
}

// poll looks a record that was found running again until the attempt has ended, at most maxPolls times and for half of
// the caller's time, so that the other half is left to run the request; asked is when the record was asked for.
func (r *Remote) poll(ctx context.Context, request core.DedupRequest, asked core.Instant) (core.DedupResult, error) {
	result := core.DedupResult{State: core.DedupRunning}
	defer r.waiting.Add(-1)
	if r.waiting.Add(1) > maxOutcomeWaits {
		return result, nil
	}
	reserve := timeLeft(ctx) / 2
	interval := firstPoll
	for range maxPolls {
		left := timeLeft(ctx) - reserve
		if left <= 0 {
			break
		}
		select {
		case <-ctx.Done():
			return result, nil
		case <-r.config.Timer.After(min(interval, left) - r.config.Timer.Now().Sub(asked)):
		}
		asked = r.config.Timer.Now()
		// The tries of the last call may still be under way at the writer.
		request.Try += 2
		interval *= 2
		next, err := r.begin(ctx, request, min(interval, left))
		if err != nil || next.State != core.DedupRunning {
			return next, err
		}
	}
	return result, nil
}

// timeLeft returns the time until the deadline of a context, or an hour without one.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return time.Hour
}
