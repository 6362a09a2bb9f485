package place

import (
	"slices"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// localSample and remoteSample are the numbers of usable targets of the local and of remote regions that are compared,
	// besides the places of an affinity key. With a key there are keySampleDivisor times fewer.
	localSample      = 12
	remoteSample     = 6
	keySampleDivisor = 3
	// remoteBiasPart is the part of the time that a known key saves which is added to the cost of remote targets when the remote
	// share is at its upper limit, and subtracted at the lower one. It lets those requests change their region for which
	// that costs least.
	remoteBiasPart = 1.0
	// latePlaces is the number of places of a key that may get a request which no target is expected to serve in time.
	latePlaces = 2
)

// choice is a target and what is expected if it gets the request.
type choice struct {
	// cost is what choices are compared by: expected and the cost to later requests.
	cost time.Duration
	// key is the hash of the request's affinity key, and distance and place are those of the target for it.
	key      uint64
	distance int
	place    int
	// expected is the time until the response.
	expected time.Duration
	// known is the probability that the target knows the affinity key.
	known    float64
	slowdown float64
	target   *target
	// wait is the part of expected before the request runs, or 0 if a slot is free, and workFactor the part of slowdown that the target
	// has reported.
	wait       time.Duration
	workFactor float64
}

// better returns the choice with the lower cost; a choice without a target never wins.
func (c choice) better(other choice) choice {
	if c.target == nil || other.target != nil && other.cost < c.cost {
		return other
	}
	return c
}

// selection is the result of comparing targets.
type selection struct {
	best choice
	// spare is the best choice among the targets with room for late requests.
	spare choice
	// forced means that only remote targets could be chosen, and wantsRemote that one would be without the limit of the remote
	// share.
	forced      bool
	wantsRemote bool
}

// comparison compares targets for one request.
type comparison struct {
	selection
	*Placer
	// home is the place of the first target that is likely to know the key, or the first place.
	home int
	key  uint64
	// late is the room for requests that no target serves in time.
	late    lateRoom
	now     core.Instant
	places  places
	request *core.AdmitRequest
	service *service
	// remoteBias is added to the cost of remote targets, and unbiased is the best choice without it.
	remoteBias time.Duration
	unbiased   choice
	// meanTime is the mean service time of the service in nanoseconds, unknownTime that of the request's route if the target
	// does not know the key, and savedTime what a known key saves.
	meanTime    float64
	unknownTime float64
	savedTime   float64
}

// newComparison returns a comparison for a request to a service, without results.
func (p *Placer) newComparison(s *service, request *core.AdmitRequest, now core.Instant, late lateRoom) comparison {
	c := comparison{Placer: p, key: affinity(request), late: late, now: now, request: request, service: s}
	c.meanTime = float64(p.serviceTimes.serviceMean(request.Service))
	c.unknownTime = float64(p.serviceTimes.routeMean(request.Route, false))
	c.savedTime = c.unknownTime - float64(p.serviceTimes.routeMean(request.Route, true))
	c.remoteBias = time.Duration(remoteBiasPart * p.remoteShare.pressure() * c.savedTime)
	return c
}

// choose compares the places of the request's affinity key and some other targets of all regions. If remoteShare does not
// allow the region of the result, it compares those of the other regions. Only remote targets are considered if the local
// region has no working one. The mutex must be held.
func (p *Placer) choose(request *core.AdmitRequest, now core.Instant, late lateRoom) selection {
	p.remoteShare.advance(now)
	s := p.services[request.Service]
	if s == nil {
		return selection{}
	}
	c := p.newComparison(s, request, now, late)
	if !p.localWorking(s, request) {
		selected := c.among(&s.remote)
		if selected.best.target != nil {
			selected.forced, selected.wantsRemote = true, true
			return selected
		}
	}
	wanted := c.among(&s.local, &s.remote)
	if wanted.best.target == nil {
		return wanted
	}
	selected := wanted
	remote := wanted.best.target.Region != p.Region
	switch {
	case remote && !p.remoteShare.allowsRemote():
		selected = c.among(&s.local)
	case !remote && p.remoteShare.requiresRemote():
		if selected = c.among(&s.remote); selected.best.target == nil {
			selected = wanted
		}
	}
	selected.wantsRemote = wanted.wantsRemote
	return selected
}

// among selects a target among the given parts of the service's targets. It works on a copy of the comparison.
func (c comparison) among(parts ...*regionTargets) selection {
	if c.key != 0 {
		for _, part := range parts {
			c.addPlaces(&c.places, c.service, part, c.request, c.key, c.now)
		}
		c.home = c.findHome()
	}
	for i, t := range c.places.usable() {
		c.consider(t, i)
	}
	if c.needsSample() {
		c.considerSamples(parts)
	}
	c.wantsRemote = c.unbiased.target != nil && c.unbiased.target.Region != c.Region
	return c.selection
}

// needsSample reports whether targets that are not places of the key may be better than its best place, which has no free slot.
func (c *comparison) needsSample() bool {
	return c.best.target == nil || c.best.target.busy(c.now) >= c.best.target.Slots
}

// findHome returns the place of the first target that is likely to know the key since this host sent it there. A key stays
// there when a target with an earlier place joins.
func (c *comparison) findHome() int {
	for i, t := range c.places.usable() {
		if d := t.keys.distance(c.key); d != unseen && c.service.recall.probability(i, d) > 0.5 {
			return i
		}
	}
	return 0
}

// consider compares a target with the selected ones.
func (c *comparison) consider(t *target, place int) {
	candidate := c.estimate(t, place)
	c.unbiased = c.unbiased.better(candidate)
	if t.Region != c.Region {
		candidate.cost += c.remoteBias
	}
	c.best = c.best.better(candidate)
	if (place < latePlaces || c.key == 0) && candidate.roomForLate(c.now, c.request.Deadline.Sub(c.now), c.late) {
		c.spare = c.spare.better(candidate)
	}
}

// considerSamples considers some usable targets of each part.
func (c *comparison) considerSamples(parts []*regionTargets) {
	for _, part := range parts {
		size := remoteSample
		if part == &c.service.local {
			size = localSample
		}
		if c.key != 0 {
			size /= keySampleDivisor
		}
		c.considerSample(part.targets, size)
	}
}

// considerSample considers up to size usable targets that are not places of the key.
func (c *comparison) considerSample(targets []*target, size int) {
	if len(targets) == 0 {
		return
	}
	first := int(c.RandomInt(int64(len(targets))))
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		if slices.Contains(c.places.usable(), t) || !c.usable(t, c.request, c.now) {
			continue
		}
		c.consider(t, maxPlaces)
		if size--; size == 0 {
			return
		}
	}
}

// affinity returns the hash of a request's affinity key and route, or 0 without a key. A target that knows an object by one
// route serves it no faster by another one.
func affinity(request *core.AdmitRequest) uint64 {
	if request.AffinityKey == "" {
		return 0
	}
	return hash(request.Route, request.AffinityKey) | 1
}
