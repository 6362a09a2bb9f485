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
	// ownershipRefreshInterval is the age at which target.owned, which is only a hint, is read again from the lease. The
	// lease of a chosen target is always checked.
	ownershipRefreshInterval = 20 * time.Millisecond
	// serviceTimeDivisor is the inverse of the weight of a new service time in the moving averages.
	serviceTimeDivisor = 32
	// serviceTimeDeviations is the number of mean deviations above the mean that covers nearly all requests; 0.9 percent
	// of exponentially distributed times exceed 5, and 6 leaves room for the error of the estimate.
	serviceTimeDeviations = 6
	// maxDispatchSkips bounds how many waiters that avoid every free target are passed over to serve a later one.
	maxDispatchSkips = 8
	// pauseMargin bounds the time that a queued request keeps in reserve for pauses of the processes and the network.
	pauseMargin = 100 * time.Millisecond
	// minRetryAfter is the shortest delay after which a rejection permits a retry.
	minRetryAfter = 50 * time.Millisecond
)

// pool holds the targets and the queue of one service.
type pool struct {
	config             Config
	mu                 sync.Mutex
	ownershipCheckedAt core.Instant
	policy             core.EffectivePolicy
	queue              queue
	// rejection is the newest rejection by the queue.
	rejection atomic.Pointer[cachedRejection]
	// remoteInFlight counts the in-flight requests of other regions by tenant.
	remoteInFlight map[string]int
	// loadCache is the newest load that was computed while requests waited.
	loadCache atomic.Pointer[cachedLoad]
	// version increases with each change of the queue or of the slots in use, and with each tick. An outcome with Abandoned
	// changes the health of a target without a new version; cacheMaxAge bounds the use of results cached before.
	version atomic.Int64
	// meanServiceTime is the moving average of the time from grant to release, and serviceTimeDeviation its mean absolute
	// deviation.
	meanServiceTime      time.Duration
	schedulingDelay      schedulingDelay
	serviceTimeDeviation time.Duration
	service              string
	snapshot             *core.Snapshot
	targets              []*target
}

func newPool(config Config, service string) *pool {
	return &pool{
		config:         config,
		queue:          queue{flows: map[flowKey]*flow{}},
		remoteInFlight: map[string]int{},
		service:        service,
	}
}

// bestTarget returns the preferred target with a free slot for the request, or nil; it ignores tiers above maxTier.
func (p *pool) bestTarget(request *core.AdmitRequest, now core.Instant, maxTier tier) *target {
	var best *target
	bestTier, bestLoad := maxTier, int64(0)
	for _, t := range p.targets {
		targetTier, usable := t.tierAndSlotsFor(request, now)
		if targetTier == tierUnusable || t.inFlight >= usable || targetTier > bestTier || slices.Contains(request.Avoid, t.ref.Target) {
			continue
		}
		load := t.relativeLoad(now)
		if targetTier == bestTier && best != nil && (load > bestLoad || load == bestLoad && !t.preferredTo(best)) {
			continue
		}
		best, bestTier, bestLoad = t, targetTier, load
	}
	return best
}

// capacity sums the slots of the owned targets that may take work: all slots, the free slots of healthy targets, and the
// usable slots, which are those of the healthy targets or, if there are none, of the suspect ones.
func (p *pool) capacity(now core.Instant) (owned, free, usable int) {
	suspect := 0
	for _, t := range p.targets {
		if t.blocked() {
			continue
		}
		owned += t.ref.Slots
		free += t.freeSlots(now)
		if targetTier, slots := t.tierAndSlots(now); targetTier < tierSuspect {
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

// choose returns the preferred target with a free slot and the end of its lease, or nil if no such target is owned; it
// ignores tiers above maxTier.
func (p *pool) choose(request *core.AdmitRequest, now core.Instant, maxTier tier) (*target, core.Instant) {
	for {
		t := p.bestTarget(request, now, maxTier)
		if t == nil {
			return nil, 0
		}
		validUntil, ok := p.config.Lease.Owns(t.object)
		if ok {
			return t, validUntil
		}
		t.owned = false
	}
}

// requiredTime returns the time that nearly all requests need after the grant of a slot. The scheduling delay counts
// twice: a busy process notices a request after this delay and needs as long again to return the response.
func (p *pool) requiredTime() time.Duration {
	return p.meanServiceTime + serviceTimeDeviations*p.serviceTimeDeviation + 2*p.schedulingDelay.value()
}

// admit grants a slot at once, queues the request or rejects it.
func (p *pool) admit(request *core.AdmitRequest, now core.Instant) (*grant, *waiter, *core.RejectedError) {
	if err := p.reuseRejection(request, now); err != nil {
		return nil, nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Another request may have been rejected while this one waited for the lock.
	if err := p.reuseRejection(request, now); err != nil {
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
		return p.admitRemote(request, now)
	}
	if p.queue.length == 0 {
		if t, validUntil := p.choose(request, now, p.worstTier(request, now)); t != nil {
			return p.grantSlot(t, validUntil, request, now), nil, nil
		}
	}
	w, err := p.enqueue(request, now)
	if err == nil {
		return nil, w, nil
	}
	if t, validUntil := p.choose(request, now, tierSuspect); t != nil {
		return p.grantSlot(t, validUntil, request, now), nil, nil
	}
	p.cacheRejection(request, now, err)
	return nil, nil, err
}

// admitRemote admits a request of another region only if the slots reserved for local requests stay free.
func (p *pool) admitRemote(request *core.AdmitRequest, now core.Instant) (*grant, *waiter, *core.RejectedError) {
	owned, free, _ := p.capacity(now)
	if owned == 0 {
		return nil, nil, reject(codes.NoPermittedTarget, time.Second, "no owned target of the service is usable")
	}
	// The reserve is counted in hundredths of a slot, because it is a percentage of the slots.
	reservedHundredths := owned * int(p.policy.ShiftReservePercent)
	if p.queue.length > 0 || (free-1)*fullPercent < reservedHundredths || free < 1 {
		return nil, nil, reject(codes.ReserveKept, p.expectedWait(p.queue.length+1, now), "free slots are reserved for local requests")
	}
	if unreserved := owned - (reservedHundredths+fullPercent-1)/fullPercent; !p.leavesFairShare(request, unreserved, free-(owned-unreserved)) {
		return nil, nil, reject(codes.ReserveKept, p.expectedWait(1, now), "the last free slots are left to other tenants and classes")
	}
	t, validUntil := p.choose(request, now, tierSuspect)
	if t == nil {
		return nil, nil, reject(codes.NoPermittedTarget, time.Second, "no other owned target of the service is usable")
	}
	return p.grantSlot(t, validUntil, request, now), nil, nil
}

// leavesFairShare reports whether a request of another region leaves a fair share of the unreserved slots to others; free is
// the number of unreserved slots not in use. Batch requests leave the last fifth of them free, and a tenant gets at most an
// equal part when no more than half are free.
func (p *pool) leavesFairShare(request *core.AdmitRequest, unreserved, free int) bool {
	if request.Class == classBatch && free <= unreserved/batchShareDivisor {
		return false
	}
	tenants := len(p.remoteInFlight)
	if p.remoteInFlight[request.Tenant] == 0 {
		tenants++
	}
	return free > unreserved/2 || p.remoteInFlight[request.Tenant] < max(1, unreserved/tenants)
}

// requiredAtEnqueue returns how much time a request with the given budget must have remaining after its expected wait in
// order to be queued. Under overload, the queue becomes as long as this permits. With only requiredAtGrant, every pause made
// queued requests late: at ten times the capacity, half of them waited 260 ms of their 300 ms.
func (p *pool) requiredAtEnqueue(budget time.Duration) time.Duration {
	return min(p.requiredTime()+min(budget/4, pauseMargin), budget*7/8)
}

// addInFlight adds the in-flight requests of each target to counts, by ownership key.
func (p *pool) addInFlight(counts map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.inFlight > 0 {
			counts[t.object] = t.inFlight
		}
	}
}

// load returns the load of the owned targets; while requests wait, it is cached for cacheMaxAge.
func (p *pool) load(now core.Instant) core.ServiceLoad {
	if load, ok := p.reuseLoad(now); ok {
		return load
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Another request may have stored the load while this one waited for the lock.
	if load, ok := p.reuseLoad(now); ok {
		return load
	}
	p.refresh(now)
	owned, free, _ := p.capacity(now)
	load := core.ServiceLoad{FreeSlots: free, Queued: p.queue.length, Slots: owned}
	if free == 0 || p.queue.length > 0 {
		load.WaitMs = p.expectedWait(p.queue.length+1, now).Milliseconds()
	}
	if p.queue.length > 0 {
		load.FreeSlots = 0
		p.loadCache.Store(&cachedLoad{cachedAt: now, load: load, snapshot: p.snapshot, version: p.version.Load()})
	}
	return load
}

// refresh applies a new revision of the settings and updates the hint of which targets are owned.
func (p *pool) refresh(now core.Instant) {
	if s := p.config.Settings.Current(); s != nil && s != p.snapshot {
		p.apply(s, now)
		p.ownershipCheckedAt = 0
	}
	if p.ownershipCheckedAt != 0 && now.Sub(p.ownershipCheckedAt) < ownershipRefreshInterval {
		return
	}
	p.ownershipCheckedAt = now
	for _, t := range p.targets {
		_, t.owned = p.config.Lease.Owns(t.object)
	}
}

// release frees a slot, records the outcome and serves the queue. An outcome with Abandoned keeps the slot until the next
// call.
func (p *pool) release(g *grant, outcome core.Outcome) {
	now := p.config.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.released {
		return
	}
	if outcome.Abandoned {
		p.recordOutcome(g, outcome, now)
		p.refresh(now)
		return
	}
	g.released = true
	p.version.Add(1)
	g.target.inFlight--
	if g.remote {
		p.remoteInFlight[g.tenant]--
		if p.remoteInFlight[g.tenant] == 0 {
			delete(p.remoteInFlight, g.tenant)
		}
	}
	p.recordOutcome(g, outcome, now)
	p.refresh(now)
	p.prune()
	p.dispatch(now)
}

// grantSlot occupies one slot of t.
func (p *pool) grantSlot(t *target, validUntil core.Instant, request *core.AdmitRequest, now core.Instant) *grant {
	p.version.Add(1)
	if t.ejected && !now.Before(t.ejectedUntil) {
		p.spreadProbes(t, now)
	}
	t.inFlight++
	t.lastGrantAt = now
	remote := request.FromRegion != "" && request.FromRegion != p.config.Region
	if remote {
		p.remoteInFlight[request.Tenant]++
	}
	return &grant{
		grantedAt: now, pool: p, target: t, ref: t.ref, remote: remote, tenant: request.Tenant, validUntil: validUntil,
	}
}

// spreadProbes delays the probes of all other targets when t is probed, so that they take place one after another within eject_ms.
// Targets that failed together would otherwise be probed together, and a request that is retried could meet failing targets only.
// Without a healthy target nothing is delayed, because a probe is the only way to serve a request then.
func (p *pool) spreadProbes(t *target, now core.Instant) {
	ejected, healthy := 0, false
	for _, other := range p.targets {
		switch {
		case other.blocked():
		case other.ejected:
			ejected++
		default:
			healthy = healthy || other.currentFaultLevel(now) < suspectFaultLevel
		}
	}
	if !healthy {
		return
	}
	next := now.Add(milliseconds(t.policy.EjectMs) / time.Duration(ejected))
	for _, other := range p.targets {
		if other != t && other.ejected {
			other.ejectedUntil = max(other.ejectedUntil, next)
		}
	}
}

// timeUntilProbe returns the time until the next ejected target may be probed, at most one second.
func (p *pool) timeUntilProbe(now core.Instant) time.Duration {
	wait := time.Second
	for _, t := range p.targets {
		if !t.blocked() && t.ejected && now.Before(t.ejectedUntil) {
			wait = min(wait, t.ejectedUntil.Sub(now))
		}
	}
	return wait
}

// worstTier returns the highest tier that the request may use now. A request waits for a healthy target if there is one:
// a target that fails fast always has free slots, and received a quarter of the requests of a service when three of its
// four targets failed. Suspect targets are the last resort instead of a rejection.
func (p *pool) worstTier(request *core.AdmitRequest, now core.Instant) tier {
	for _, t := range p.targets {
		targetTier, usable := t.tierAndSlotsFor(request, now)
		if targetTier < tierSuspect && usable > 0 && !slices.Contains(request.Avoid, t.ref.Target) {
			return tierSuspect - 1
		}
	}
	return tierSuspect
}

// reject returns the error of a request that is not run.
func reject(code codes.Code, retryAfter time.Duration, text string) *core.RejectedError {
	return &core.RejectedError{Code: code, RetryAfter: max(minRetryAfter, retryAfter), Text: text}
}

func compareTargets(a, b *target) int {
	return strings.Compare(a.ref.Target, b.ref.Target)
}
