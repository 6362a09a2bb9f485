package limit

import (
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// cacheMaxAge bounds the reuse of a cached result even if the pool has not changed, because the state of targets and
// leases also changes with time.
const cacheMaxAge = 5 * time.Millisecond

// cachedRejection is a rejection by the queue. While the pool is unchanged, it also applies to similar requests of the same
// flow and is returned without locking the pool: at ten times the capacity, requests waited longer for the lock than for a
// slot.
type cachedRejection struct {
	cachedAt core.Instant
	budget   time.Duration
	deadline core.Instant
	err      *core.RejectedError
	key      flowKey
	snapshot *core.Snapshot
	version  int64
}

// cachedLoad is the load of the pool while requests wait.
type cachedLoad struct {
	cachedAt core.Instant
	load     core.ServiceLoad
	snapshot *core.Snapshot
	version  int64
}

// covers reports whether the unchanged pool would reject request too. A full queue accepts no more requests of the same
// flow. For other rejections, a request whose deadline is not earlier waits at least as long, and is rejected too unless it
// has more time remaining.
func (r *cachedRejection) covers(request *core.AdmitRequest, now core.Instant) bool {
	if request.Deadline == 0 || len(request.Avoid) > 0 || r.key != requestKey(request) {
		return false
	}
	if r.err.Code == codes.QueueFull {
		return now.Before(request.Deadline)
	}
	return !request.Deadline.Before(r.deadline) && request.Deadline.Sub(now) <= r.budget
}

// cacheRejection stores a rejection by the queue for later requests. The caller holds the mutex.
func (p *pool) cacheRejection(request *core.AdmitRequest, now core.Instant, err *core.RejectedError) {
	if p.queue.length == 0 || len(request.Avoid) > 0 || err.Code == codes.NoPermittedTarget {
		return
	}
	p.rejection.Store(&cachedRejection{
		cachedAt: now, budget: request.Deadline.Sub(now), deadline: request.Deadline, err: err, key: requestKey(request),
		snapshot: p.snapshot, version: p.version.Load(),
	})
}

// reuseRejection returns the cached rejection if it covers a local request, or nil.
func (p *pool) reuseRejection(request *core.AdmitRequest, now core.Instant) *core.RejectedError {
	cached := p.rejection.Load()
	if cached == nil || !p.unchanged(cached.cachedAt, cached.snapshot, cached.version, now) {
		return nil
	}
	if request.FromRegion != "" && request.FromRegion != p.config.Region {
		return nil
	}
	if !cached.covers(request, now) {
		return nil
	}
	return cached.err
}

// reuseLoad returns the cached load, or false if it is outdated.
func (p *pool) reuseLoad(now core.Instant) (core.ServiceLoad, bool) {
	cached := p.loadCache.Load()
	if cached == nil || !p.unchanged(cached.cachedAt, cached.snapshot, cached.version, now) {
		return core.ServiceLoad{}, false
	}
	return cached.load, true
}

// unchanged reports whether a result that was cached at the given instant, settings and version is still valid.
func (p *pool) unchanged(cachedAt core.Instant, snapshot *core.Snapshot, version int64, now core.Instant) bool {
	return p.version.Load() == version && now.Sub(cachedAt) < cacheMaxAge && p.config.Settings.Current() == snapshot
}
