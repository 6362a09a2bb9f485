package limit

import (
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// stateAge bounds the use of a state that was seen before: targets and leases also change with time.
const stateAge = 5 * time.Millisecond

// refusal is the rejection of a request while others waited. As long as the pool has not changed since, it decides the
// same for further requests of the flow, without the pool's lock: at ten times the capacity, requests waited longer
// for the lock than for a slot.
type refusal struct {
	at       core.Instant
	budget   time.Duration
	deadline core.Instant
	err      *core.RejectedError
	key      flowKey
	snapshot *core.Snapshot
	version  int64
}

// sighting is the load of the pool while requests wait.
type sighting struct {
	at       core.Instant
	load     core.ServiceLoad
	snapshot *core.Snapshot
	version  int64
}

// covers reports whether the pool would reject a request of the same flow as well: a full queue takes no more of the
// flow, and a request with a later deadline and less time left waits no shorter.
func (r *refusal) covers(request *core.AdmitRequest, now core.Instant) bool {
	if request.Deadline == 0 || len(request.Avoid) > 0 || r.key != flowOf(request) {
		return false
	}
	if r.err.Code == codes.QueueFull {
		return now.Before(request.Deadline)
	}
	return !request.Deadline.Before(r.deadline) && request.Deadline.Sub(now) <= r.budget
}

// noteRefusal keeps the rejection of a request by the queue; the mutex is held.
func (p *pool) noteRefusal(request *core.AdmitRequest, now core.Instant, err *core.RejectedError) {
	if p.queue.length == 0 || len(request.Avoid) > 0 || err.Code == codes.NoPermittedTarget {
		return
	}
	p.refused.Store(&refusal{
		at: now, budget: request.Deadline.Sub(now), deadline: request.Deadline, err: err, key: flowOf(request),
		snapshot: p.snapshot, version: p.version.Load(),
	})
}

// refuse returns the rejection of a local request that the newest one covers, or nil.
func (p *pool) refuse(request *core.AdmitRequest, now core.Instant) *core.RejectedError {
	r := p.refused.Load()
	if r == nil || !p.unchanged(r.at, r.snapshot, r.version, now) {
		return nil
	}
	if request.FromRegion != "" && request.FromRegion != p.config.Region {
		return nil
	}
	if !r.covers(request, now) {
		return nil
	}
	return r.err
}

// seenLoad returns the load that was seen last if it still holds.
func (p *pool) seenLoad(now core.Instant) (core.ServiceLoad, bool) {
	s := p.seen.Load()
	if s == nil || !p.unchanged(s.at, s.snapshot, s.version, now) {
		return core.ServiceLoad{}, false
	}
	return s.load, true
}

// unchanged reports whether the state that was seen at a version still holds.
func (p *pool) unchanged(at core.Instant, snapshot *core.Snapshot, version int64, now core.Instant) bool {
	return p.version.Load() == version && now.Sub(at) < stateAge && p.config.Settings.Current() == snapshot
}
