package proxy

import (
	"context"
	"sync"

	"ebonyrouter.dev/core"
)

// targetBodies is the number of bodies of the largest permitted size that one host has in flight to one target. A target crashes if
// the requests that it holds exceed its memory.
const targetBodies = 2

// flow bounds the bytes of the request bodies that are in flight to one address. The zero value is ready to use.
type flow struct {
	held    int64
	mutex   sync.Mutex
	changed chan struct{}
}

// acquire counts bytes, at most limit together with those of other requests, and reports whether it could. If they exceed it, it waits
// until others end, until the given instant or the end of ctx. A request alone is always counted.
func (f *flow) acquire(ctx context.Context, bytes, limit int64, until core.Instant, timer core.Timer) bool {
	var timeout <-chan core.Instant
	for {
		f.mutex.Lock()
		if f.held == 0 || f.held+bytes <= limit {
			f.held += bytes
			f.mutex.Unlock()
			return true
		}
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		changed := f.changed
		f.mutex.Unlock()
		if timeout == nil {
			timeout = timer.After(until.Sub(timer.Now()))
		}
		select {
		case <-changed:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// release returns bytes that were counted and wakes those that wait.
func (f *flow) release(bytes int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.held -= bytes
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// boundBytes waits until the target of c may receive the body of the request, for half of the remaining time at most. It returns the
// function that releases the attempt, or false if the body must not be sent.
func (p *Proxy) boundBytes(ctx context.Context, req *request, c *conn, release func(core.Outcome)) (func(core.Outcome), bool) {
	bytes := int64(len(req.body))
	if req.streamed {
		bytes = req.incoming.ContentLength
		if bytes < 0 {
			bytes = req.policy.RequestBodyBytes
		}
	}
	if bytes == 0 {
		return release, true
	}
	now, f := p.Timer.Now(), &c.pool.flow
	if !f.acquire(ctx, bytes, targetBodies*req.policy.RequestBodyBytes, now.Add(req.deadline.Sub(now)/2), p.Timer) {
		return release, false
	}
	released := sync.OnceFunc(func() { f.release(bytes) })
	return func(outcome core.Outcome) {
		if !outcome.Abandoned {
			released()
		}
		release(outcome)
	}, true
}
