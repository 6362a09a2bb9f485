package place

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/entry/rank"
)

var _ core.Admitter = (*Placer)(nil)

// Placer chooses the target with the earliest expected response for each request.
type Placer struct {
	Config
	remoteShare    remoteShare
	latencyRatios  latencyRatios
	drainedZones   map[string]bool
	peerReports    map[string]peerReport
	ranker         *rank.Ranker
	mutex          sync.Mutex
	requestRate    requestRate
	services       map[string]*service
	targets        map[string]*target
	targetsVersion int64
	serviceTimes   serviceTimes
}

// New returns a Placer without targets.
func New(config Config) *Placer {
	if config.RandomInt == nil {
		config.RandomInt = rand.Int64N
	}
	return &Placer{
		Config:        config,
		remoteShare:   remoteShare{maxStep: config.MaxRemoteStep},
		latencyRatios: latencyRatios{},
		peerReports:   map[string]peerReport{},
		ranker:        rank.New(),
		services:      map[string]*service{},
		targets:       map[string]*target{},
		serviceTimes:  serviceTimes{},
	}
}

// Admit implements core.Admitter.Admit; it never blocks.
func (p *Placer) Admit(_ context.Context, request core.AdmitRequest) (core.Grant, error) {
	now := p.Timer.Now()
	d := p.decide(&request, now)
	p.logStanding(&request, &d)
	if d.rejected != nil {
		p.logRejected(&request, &d, now)
		p.observeRejected(&request, &d)
		return nil, d.rejected
	}
	p.logPlaced(d.granted, d.state)
	return d.granted, nil
}

// decision is what became of a request: either granted or rejected is set.
type decision struct {
	best     choice
	excess   bool
	granted  *grant
	rejected *core.RejectedError
	standing rank.Standing
	state    targetState
}

// decide chooses a target and counts the request there, or returns the rejection.
func (p *Placer) decide(request *core.AdmitRequest, now core.Instant) decision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.requestRate.count++
	p.updateTargets()
	p.ranker.Apply(p.Settings.Current())
	d := decision{standing: p.ranker.Offer(request, now)}
	late := lateRoomOf(p.services[request.Service], &d.standing)
	selected := p.choose(request, now, late)
	d.best = selected.best
	if d.best.target == nil {
		d.state = targetState{targetsVersion: p.targetsVersion}
		d.rejected = &core.RejectedError{
			Code: codes.NoPermittedTarget, RetryAfter: p.retryAfter(request, now), Text: "no usable target of the service is known",
		}
		d.standing.Refused()
		return d
	}
	rejected := p.checkExpected(d.best, request, now, &d.standing, late)
	// A request that the local region has no room for counts as wanted elsewhere, or the permitted share falls while it is needed.
	spareRemote := rejected != nil && selected.spare.target != nil && selected.spare.target.Region != p.Region
	p.remoteShare.decide(selected.wantsRemote || spareRemote)
	if rejected != nil {
		if selected.spare.target == nil {
			d.rejected, d.state = rejected, p.targetState(d.best.target, now)
			d.excess = !d.standing.Entitled && d.standing.Excessive && d.standing.FirstReport()
			d.standing.Refused()
			return d
		}
		d.best = selected.spare
	}
	d.state = p.targetState(d.best.target, now)
	p.services[request.Service].recordChoice(d.state.busy, d.state.slots)
	d.granted = p.grant(d.best, request, now)
	d.standing.Admitted()
	p.remoteShare.record(d.best.target.Region != p.Region, selected.forced)
	return d
}

// grant counts a request as in flight at a target; the mutex must be held.
func (p *Placer) grant(chosen choice, request *core.AdmitRequest, now core.Instant) *grant {
	t := chosen.target
	t.inFlight++
	if t.ColdRemaining(now) > 0 {
		t.coldNext = now.Add(coldInterval(p.serviceSettings(t).ColdPerSecond))
	}
	if chosen.key != 0 {
		t.keys.use(chosen.key)
	}
	granted := &grant{choice: chosen, placer: p, ref: p.ref(t), request: *request, sent: now, startedMs: t.StartedMs}
	t.outstanding = append(t.outstanding, granted)
	return granted
}

// checkExpected rejects a request whose response is expected after its deadline or latency objective, if it would delay
// others. Under overload, a queue in which every request waits serves none of them in time. A target with room for late requests
// always gets the request; a request beyond the share of its rank or customer gets no other target.
func (p *Placer) checkExpected(
	best choice, request *core.AdmitRequest, now core.Instant, standing *rank.Standing, late lateRoom,
) *core.RejectedError {
	if best.roomForLate(now, request.Deadline.Sub(now), late) {
		return nil
	}
	if remaining := request.Deadline.Sub(now); best.expected > remaining {
		return p.rejectLate(best.expected-remaining, "the expected response comes after the deadline, and others would wait for it")
	}
	if !standing.Entitled {
		return p.rejectLate(standing.RoomIn, surplusText(standing))
	}
	if request.LatencyObjective == 0 {
		return nil
	}
	expected := p.latencyRatios.correct(request.Service, best.expected)
	if remaining := request.LatencyObjective.Sub(now); expected > remaining {
		return p.rejectLate(expected-remaining, "the expected response comes after the aim, and others would wait for it")
	}
	return nil
}

// surplusText returns the reason for refusing a request that is not entitled to room.
func surplusText(standing *rank.Standing) string {
	if standing.Excessive {
		return "the service has too little room, and the customer exceeds its fair share"
	}
	return "the service has too little room, and more urgent requests come first"
}

// release applies the outcome of a request; first is false if an outcome was already applied when the request was
// abandoned.
func (p *Placer) release(g *grant, outcome core.Outcome, first bool) {
	now := p.Timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := g.choice.target
	if !outcome.Abandoned {
		t.inFlight--
	}
	if !first {
		return
	}
	t.removeOutstanding(g)
	if !outcome.Shed && !outcome.OtherTarget && outcome.Latency > 0 {
		p.latencyRatios.record(t.Service, g.choice.expected, outcome.Latency)
	}
	if outcome.HasLoad {
		t.recordLoad(now, outcome.Load)
		if s := p.services[t.Service]; s != nil && outcome.Load.TimePercent > 0 {
			s.reportsWork = true
		}
	}
	switch {
	case outcome.OtherTarget:
		t.avoidUntil = now.Add(maxBackoff)
	case outcome.Shed:
		t.avoidUntil = max(t.avoidUntil, now.Add(shedBackoff))
	case outcome.Failed:
		t.recordFailure(now)
	case !outcome.Abandoned && outcome.Latency > 0:
		p.recordLatency(g, now, &outcome)
	}
}

// recordLatency applies the latency of a complete response.
func (p *Placer) recordLatency(g *grant, now core.Instant, outcome *core.Outcome) {
	t := g.choice.target
	serviceTime := max(time.Millisecond, outcome.Latency-p.roundTrip(t))
	explained := 1.0
	if s := p.services[t.Service]; s != nil && s.reportsWork {
		// Under overload all targets have queued requests. Without these measurements it would not be noticed which keys they know.
		serviceTime = max(serviceTime/maxWaitPart, serviceTime-g.choice.wait)
		explained = max(1, (g.choice.workFactor+t.workTime.current(now))/2)
	} else if outcome.HasLoad && outcome.Load.Queued > 0 {
		// With queued requests the latency reflects the queue rather than the service time.
		t.consecutiveFailures, t.avoidUntil = 0, 0
		return
	}
	serviceTime = time.Duration(float64(serviceTime) / explained)
	known := p.keyWasKnown(g, serviceTime, now)
	believed := known || g.choice.known >= believedKnown
	t.recordSuccess(now, float64(serviceTime)/float64(p.serviceTimes.routeMean(g.request.Route, believed)))
	p.serviceTimes.record(g.request.Route, known, serviceTime)
	p.serviceTimes.record(t.Service, false, serviceTime)
}

// keyWasKnown decides from its service time whether a target knew the key of a request, and records it.
func (p *Placer) keyWasKnown(g *grant, serviceTime time.Duration, now core.Instant) bool {
	s := p.services[g.choice.target.Service]
	if g.request.AffinityKey == "" || s == nil {
		return false
	}
	known := float64(serviceTime)/g.choice.target.currentSlowdown(now) < float64(p.serviceTimes.knownLimit(g.request.Route))
	s.recall.record(g.choice.place, g.choice.distance, known)
	return known
}

// updateTargets applies the newest list of the registry.
func (p *Placer) updateTargets() {
	list := p.Registry.Targets()
	if list == nil || list.Version == p.targetsVersion {
		return
	}
	p.targetsVersion = list.Version
	p.drainedZones = list.DrainedZones
	previousTargets, previousServices := p.targets, p.services
	p.targets = make(map[string]*target, len(list.Targets))
	p.services = map[string]*service{}
	for _, entry := range list.Targets {
		t := previousTargets[entry.ID]
		if t == nil {
			t = &target{}
		}
		t.apply(entry)
		p.targets[entry.ID] = t
		if p.services[entry.Service] == nil {
			p.services[entry.Service] = &service{probes: p.serviceSettings(t).AffinityProbes}
		}
		p.services[entry.Service].add(t, p.Region)
	}
	for name, s := range p.services {
		s.inherit(previousServices[name])
	}
}

// working reports whether the target could serve the request, regardless of backoffs, the rate limit of a cold target and
// earlier attempts of the request. A target with failureLimit consecutive failures does not count.
func (p *Placer) working(t *target, request *core.AdmitRequest) bool {
	return t.State == core.TargetReady && !t.pause.Leaving() && !p.drainedZones[t.Zone] && t.consecutiveFailures < failureLimit &&
		(len(request.HomeRegions) == 0 || slices.Contains(request.HomeRegions, t.Region))
}

// usable reports whether the request may be sent to the target now.
func (p *Placer) usable(t *target, request *core.AdmitRequest, now core.Instant) bool {
	switch {
	case t.State != core.TargetReady, p.drainedZones[t.Zone], slices.Contains(request.Avoid, t.ID):
		return false
	case len(request.HomeRegions) > 0 && !slices.Contains(request.HomeRegions, t.Region):
		return false
	case now.Before(t.avoidUntil), t.pause.Active(now):
		return false
	case t.ColdRemaining(now) > 0:
		return !now.Before(t.coldNext) && coldSender(t.ID, p.HostNames(t.Region)) == p.Host
	}
	return true
}

// roundTrip returns the round-trip time to a target.
func (p *Placer) roundTrip(t *target) time.Duration {
	switch {
	case t.Zone == p.Zone:
		return 0
	case t.Region == p.Region:
		return p.ZoneRTT
	default:
		return p.RegionRTT
	}
}

// ref describes a target for the proxy. The connections that the target accepts are divided among all hosts.
func (p *Placer) ref(t *target) core.TargetRef {
	connections := max(minConnections, p.serviceSettings(t).Connections/max(1, len(p.HostNames(""))))
	return core.TargetRef{
		Address: t.Address, Connections: connections, Service: t.Service, Slots: t.Slots, Target: t.ID, Zone: t.Zone,
	}
}

// serviceSettings returns the current settings of a target's service, which are empty before any settings are applied.
func (p *Placer) serviceSettings(t *target) core.ServiceSettings {
	if s := p.Settings.Current(); s != nil {
		return s.Settings.Services[t.Service]
	}
	return core.ServiceSettings{}
}

// maxWaitPart bounds the expected wait that is subtracted from a measured time, whose part remains.
const maxWaitPart = 5

// believedKnown is the probability from which a slow response to a request with a known key is taken for a slow target
// rather than a forgotten key.
const believedKnown = 0.7

// minConnections is the lower bound of the connections that a host may open to a target.
const minConnections = 2

const (
	// minRetryAfter is the shortest time after which a rejected caller is asked to retry.
	minRetryAfter = 50 * time.Millisecond
	// noTargetRetryAfter is the time after which targets that were avoided or are being replaced may be usable again.
	noTargetRetryAfter = 250 * time.Millisecond
)

// rejectLate returns the rejection of a request whose response is expected to miss its deadline or latency objective by
// excess. A random part is added to RetryAfter, so that rejected callers do not all retry at once.
func (p *Placer) rejectLate(excess time.Duration, text string) *core.RejectedError {
	wait := max(minRetryAfter, excess)
	wait += time.Duration(p.RandomInt(int64(wait)))
	return &core.RejectedError{Code: codes.QueueFull, RetryAfter: wait, Text: text}
}
