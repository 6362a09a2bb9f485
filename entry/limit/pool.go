package limit

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

const (
	// ownedRefresh is the age from which the hint which targets are owned is renewed; the chosen target is
	// always checked against the lease.
	ownedRefresh = 20 * time.Millisecond
	// holdWeight is the divisor of a new hold time in the mean.
	holdWeight = 32
	// allowanceSpreads is the number of mean deviations above the mean that nearly all requests stay below; 0.9
	// percent of exponential times exceed 5, and 6 leaves room for the error of the estimate.
	allowanceSpreads = 6
	// dispatchSkips bounds how many waiters that avoid all free targets are passed over for a later one.
	dispatchSkips = 8
	// pauseReserve is the time that a request in the queue has left for pauses of the processes and the network.
	pauseReserve = 100 * time.Millisecond
	// minRetryAfter is the smallest retry time that a rejection names.
	minRetryAfter = 50 * time.Millisecond
)

// pool holds the targets and the queue of one service.
type pool struct {
	config  Config
	mu      sync.Mutex
	ownedAt core.Instant
	policy  core.EffectivePolicy
	queue   queue
	// refused is the newest rejection of a full queue.
	refused atomic.Pointer[refusal]
	// remotes counts the slots in use by requests of other regions, by tenant.
	remotes map[string]int
	// seen is the newest load without free slots.
	seen atomic.Pointer[sighting]
	// version changes with the queue, the slots in use and what is known about the targets.
	version atomic.Int64
	// hold is the mean time that a slot is in use, and spread its mean deviation.
	hold time.Duration
	// lag is the time for which requests that may go on wait for the processor.
	lag      lag
	spread   time.Duration
	service  string
	snapshot *core.Snapshot
	targets  []*target
}

func newPool(config Config, service string) *pool {
	return &pool{
		config:  config,
		queue:   queue{flows: map[flowKey]*flow{}},
		remotes: map[string]int{},
		service: service,
	}
}

// best returns the free target that is preferred for the request, or nil; none of a tier above worst.
func (p *pool) best(request *core.AdmitRequest, now core.Instant, worst tier) *target {
	var best *target
	bestTier, bestLoad := worst, int64(0)
	for _, t := range p.targets {
		level, usable := t.standingFor(request, now)
		if level == tierUnusable || t.inFlight >= usable || level > bestTier || slices.Contains(request.Avoid, t.ref.Target) {
			continue
		}
		load := t.load(now)
		if level == bestTier && best != nil && (load > bestLoad || load == bestLoad && !t.before(best)) {
			continue
		}
		best, bestTier, bestLoad = t, level, load
	}
	return best
}

// capacity sums the owned targets that may take work: all slots, free slots in good standing and usable slots, which are
// those in good standing, or those of the last resort if there are no others.
func (p *pool) capacity(now core.Instant) (owned, free, usable int) {
	suspect := 0
	for _, t := range p.targets {
		if t.blocked() {
			continue
		}
		owned += t.ref.Slots
		free += t.free(now)
		if level, slots := t.standing(now); level < tierSuspect {
			usable += slots
		} else {
			suspect += slots
		}
	}
	if usable == 0 {
		usable = suspect
	}
	return owned, free, usable
}

// choose returns the preferred free target after checking the lease, or nil; none of a tier above worst.
func (p *pool) choose(request *core.AdmitRequest, now core.Instant, worst tier) (*target, core.Instant) {
	for {
		t := p.best(request, now, worst)
		if t == nil {
			return nil, 0
		}
		until, ok := p.config.Lease.Owns(t.object)
		if ok {
			return t, until
		}
		t.owned = false
	}
}

// demand returns the time that nearly all requests need from the grant of a slot.
func (p *pool) demand() time.Duration {
	return p.hold + allowanceSpreads*p.spread + 2*p.lag.value()
}

// enter grants a slot at once, queues the request or rejects it.
func (p *pool) enter(request *core.AdmitRequest, now core.Instant) (*grant, *waiter, *core.RejectedError) {
	if err := p.refuse(request, now); err != nil {
		return nil, nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Another request may have been rejected while this one waited for the lock.
	if err := p.refuse(request, now); err != nil {
		return nil, nil, err
	}
	p.refresh(now)
	if request.Deadline == 0 {
		request.Deadline = now.Add(milliseconds(p.policy.DeadlineMs))
	}
	if !now.Before(request.Deadline) {
		return nil, nil, reject(codes.DeadlineTooShort, 0, "deadline has passed")
	}
	if request.FromRegion != "" && request.FromRegion != p.config.Region {
		return p.enterRemote(request, now)
	}
	if p.queue.length == 0 {
		if t, until := p.choose(request, now, p.worst(request, now)); t != nil {
			return p.take(t, until, request, now), nil, nil
		}
	}
	w, err := p.enqueue(request, now)
	if err == nil {
		return nil, w, nil
	}
	if t, until := p.choose(request, now, tierSuspect); t != nil {
		return p.take(t, until, request, now), nil, nil
	}
	p.noteRefusal(request, now, err)
	return nil, nil, err
}

// enterRemote admits a request of another region only if the reserve for local requests stays free.
func (p *pool) enterRemote(request *core.AdmitRequest, now core.Instant) (*grant, *waiter, *core.RejectedError) {
	owned, free, _ := p.capacity(now)
	if owned == 0 {
		return nil, nil, reject(codes.NoPermittedTarget, time.Second, "no owned target of the service is usable")
	}
	reserve := owned * int(p.policy.ShiftReservePercent)
	if p.queue.length > 0 || (free-1)*fullPercent < reserve || free < 1 {
		return nil, nil, reject(codes.ReserveKept, p.expected(p.queue.length+1, now), "free slots are reserved for local requests")
	}
	if room := owned - (reserve+fullPercent-1)/fullPercent; !p.fairRemote(request, room, free-(owned-room)) {
		return nil, nil, reject(codes.ReserveKept, p.expected(1, now), "the last free slots are left to other tenants and classes")
	}
	t, until := p.choose(request, now, tierSuspect)
	if t == nil {
		return nil, nil, reject(codes.NoPermittedTarget, time.Second, "no other owned target of the service is usable")
	}
	return p.take(t, until, request, now), nil, nil
}

// fairRemote reports whether a request of another region leaves others their share: of the room outside the
// reserve, batch leaves the last fifth free, and in the last half a tenant takes no more than an equal part.
func (p *pool) fairRemote(request *core.AdmitRequest, room, left int) bool {
	if request.Class == classBatch && left <= room/batchTurn {
		return false
	}
	tenants := len(p.remotes)
	if p.remotes[request.Tenant] == 0 {
		tenants++
	}
	return left > room/2 || p.remotes[request.Tenant] < max(1, room/tenants)
}

// headroom returns the part of a request's time that must be left after the expected wait when it enters the queue.
// Under overload the queue is as long as permitted, and without more than the allowance every pause made its requests
// late: at ten times the capacity half of them waited 260 ms of 300 ms.
func (p *pool) headroom(budget time.Duration) time.Duration {
	return min(p.demand()+min(budget/4, pauseReserve), budget*7/8)
}

// inUse adds the slots in use to used, by object.
func (p *pool) inUse(used map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.inFlight > 0 {
			used[t.object] = t.inFlight
		}
	}
}

// load returns the load of the owned targets.
func (p *pool) load(now core.Instant) core.ServiceLoad {
	if load, ok := p.seenLoad(now); ok {
		return load
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Another request may have looked while this one waited for the lock.
	if load, ok := p.seenLoad(now); ok {
		return load
	}
	p.refresh(now)
	owned, free, _ := p.capacity(now)
	load := core.ServiceLoad{FreeSlots: free, Queued: p.queue.length, Slots: owned}
	if free == 0 || p.queue.length > 0 {
		load.WaitMs = p.expected(p.queue.length+1, now).Milliseconds()
	}
	if p.queue.length > 0 {
		load.FreeSlots = 0
		p.seen.Store(&sighting{at: now, load: load, snapshot: p.snapshot, version: p.version.Load()})
	}
	return load
}

// refresh applies a new revision of the settings and renews the hint which targets are owned.
func (p *pool) refresh(now core.Instant) {
	if s := p.config.Settings.Current(); s != nil && s != p.snapshot {
		p.apply(s, now)
		p.ownedAt = 0
	}
	if p.ownedAt != 0 && now.Sub(p.ownedAt) < ownedRefresh {
		return
	}
	p.ownedAt = now
	for _, t := range p.targets {
		_, t.owned = p.config.Lease.Owns(t.object)
	}
}

// release gives a slot back, records the outcome and serves the queue.
func (p *pool) release(g *grant, outcome core.Outcome) {
	now := p.config.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.released {
		return
	}
	if outcome.Held {
		p.record(g, outcome, now)
		p.refresh(now)
		return
	}
	g.released = true
	p.version.Add(1)
	g.target.inFlight--
	if g.remote {
		p.remotes[g.tenant]--
		if p.remotes[g.tenant] == 0 {
			delete(p.remotes, g.tenant)
		}
	}
	p.record(g, outcome, now)
	p.refresh(now)
	p.prune()
	p.dispatch(now)
}

// take uses one slot of t.
func (p *pool) take(t *target, until core.Instant, request *core.AdmitRequest, now core.Instant) *grant {
	p.version.Add(1)
	t.inFlight++
	t.usedAt = now
	remote := request.FromRegion != "" && request.FromRegion != p.config.Region
	if remote {
		p.remotes[request.Tenant]++
	}
	return &grant{
		from: now, pool: p, target: t, ref: t.ref, remote: remote, tenant: request.Tenant, until: until,
	}
}

// untilProbe returns the time until the next ejected target may be probed.
func (p *pool) untilProbe(now core.Instant) time.Duration {
	wait := time.Second
	for _, t := range p.targets {
		if !t.blocked() && t.ejected && now.Before(t.until) {
			wait = min(wait, t.until.Sub(now))
		}
	}
	return wait
}

// worst returns the worst tier that the request may use now. It waits for a target in good standing if there is one:
// a target that fails fast always has free slots, and took a quarter of the requests of a service with three of four
// targets failing. The last resort is used instead of a rejection.
func (p *pool) worst(request *core.AdmitRequest, now core.Instant) tier {
	for _, t := range p.targets {
		level, usable := t.standingFor(request, now)
		if level < tierSuspect && usable > 0 && !slices.Contains(request.Avoid, t.ref.Target) {
			return tierSuspect - 1
		}
	}
	return tierSuspect
}

// reject returns the error of a request that is not run.
func reject(code codes.Code, after time.Duration, text string) *core.RejectedError {
	return &core.RejectedError{Code: code, RetryAfter: max(minRetryAfter, after), Text: text}
}

func compareTargets(a, b *target) int {
	return strings.Compare(a.ref.Target, b.ref.Target)
}
