package dedup

import (
	"context"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// maxOutcomeWaits bounds the Begins of a process that wait for the outcome of another attempt; further ones return at
	// once. This leaves half of the handlers of a link free while Begins of other hosts wait.
	maxOutcomeWaits = MaxLinkRequests / 2
	// firstPollInterval is the first interval after which a running record is polled, to find outcomes that another process
	// writes. It is longer than recording an outcome usually takes: one message over a link and two store writes.
	firstPollInterval = 100 * time.Millisecond
	// maxPolls bounds the polls of one request. Each interval is twice the previous one: 1.5 s in total, and
	// 3.1 s if the last poll also waits in this process. With a one-way latency of 55 ms, the record of an attempt that
	// was rejected as not run was removed up to 1.9 s later.
	maxPolls = 4
)

// outcomeWait is shared by all callers that wait for an outcome of one key.
type outcomeWait struct {
	callers int
	// written is closed when this process has written an outcome or a release of the key.
	written chan struct{}
}

// awaitOutcome waits up to maxWait for this process to write an outcome, and reports whether it did. It uses at most a third
// of the caller's remaining time; the rest is for the next decision, which takes two store calls.
func (d *Deduper) awaitOutcome(ctx context.Context, o *op, w *outcomeWait, maxWait time.Duration) bool {
	defer d.shard(o).leaveWait(o, w)
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Until(deadline)/3)
	}
	if maxWait <= 0 {
		return false
	}
	select {
	case <-w.written:
		return true
	case <-d.config.Timer.After(maxWait):
	case <-d.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// joinWait adds the caller of an op to the wait for its key, or returns nil if too many Begins are waiting. The caller
// holds the mutex.
func (s *shard) joinWait(o *op) *outcomeWait {
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

// leaveWait removes the caller of an op from the wait for its key.
func (s *shard) leaveWait(o *op, w *outcomeWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deduper.waiting.Add(-1)
	w.callers--
	if w.callers == 0 && s.waits[string(o.key)] == w {
		delete(s.waits, string(o.key))
	}
}

// endWait wakes the callers that wait for an outcome of the key of an op. The caller holds the mutex.
func (s *shard) endWait(o *op) {
	if w := s.waits[string(o.key)]; w != nil {
		close(w.written)
		delete(s.waits, string(o.key))
	}
}

// poll polls a running record, by calling begin again, until its attempt has ended. It polls at most maxPolls times and uses
// at most half of the caller's remaining time, so that the other half remains to run the request. lastBegin is the time at
// which the previous call of begin started.
func (f *Forwarder) poll(ctx context.Context, request core.DedupRequest, lastBegin core.Instant) (core.DedupResult, error) {
	result := core.DedupResult{State: core.DedupRunning}
	defer f.waiting.Add(-1)
	if f.waiting.Add(1) > maxOutcomeWaits {
		return result, nil
	}
	reserve := timeRemaining(ctx) / 2
	interval := firstPollInterval
	for range maxPolls {
		remaining := timeRemaining(ctx) - reserve
		if remaining <= 0 {
			break
		}
		select {
		case <-ctx.Done():
			return result, nil
		case <-f.config.Timer.After(min(interval, remaining) - f.config.Timer.Now().Sub(lastBegin)):
		}
		lastBegin = f.config.Timer.Now()
		// The tries of the previous call (one at the writer, one local) may still be in progress.
		request.Try += 2
		interval *= 2
		next, err := f.begin(ctx, request, min(interval, remaining))
		if err != nil || next.State != core.DedupRunning {
			return next, err
		}
	}
	return result, nil
}

// timeRemaining returns the time until the deadline of a context, or an hour if it has none.
func timeRemaining(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return time.Hour
}
