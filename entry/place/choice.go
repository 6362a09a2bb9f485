package place

import (
	"math/rand/v2"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// busyPenalty is the share of the service time that is added to the cost of a target with all slots in use, so that
	// requests spread over targets that would all serve them without a wait. The penalty grows linearly with the busy slots.
	busyPenalty = 0.2
	// defaultKnownShare is the share of the usual service time that a target is assumed to need for an affinity key that it
	// knows, until such a request has been measured.
	defaultKnownShare = 0.5
)

// choice is a target and the expected time until its response.
type choice struct {
	cost   time.Duration
	target *target
}

// better returns the choice with the lower cost; a choice without a target never wins.
func (c choice) better(other choice) choice {
	if c.target == nil || other.target != nil && other.cost < c.cost {
		return other
	}
	return c
}

// regionCandidates holds the candidates of the local region, or of all remote regions.
type regionCandidates struct {
	best choice
	// preferred is the target that all hosts prefer for the request's affinity key, chosen by rendezvous hashing; it is
	// expected to know the key.
	preferred *target
	// score is the rendezvous hash of preferred.
	score uint64
}

// choose returns the target with the earliest expected response. Remote targets are compared with local ones only if
// remoteShare allows it. Only remote targets are considered if the remote share would otherwise fall too fast, or if the
// local region has no working target. The mutex must be held.
func (p *Placer) choose(request *core.AdmitRequest, now core.Instant) choice {
	p.remoteShare.advance(now)
	key := affinity(request)
	targets := p.services[request.Service]
	if len(targets) == 0 {
		return choice{}
	}
	local, remote := p.preferredTargets(targets, request, key, now)
	localWorking := false
	first := rand.IntN(len(targets))
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		localWorking = localWorking || t.Region == p.Region && p.working(t, request)
		if !p.usable(t, request, now) {
			continue
		}
		candidates := &local
		if t.Region != p.Region {
			candidates = &remote
		}
		candidates.best = candidates.best.better(choice{p.cost(t, request, key, t == candidates.preferred, now), t})
	}
	switch {
	case remote.best.target == nil:
		return local.best
	case !localWorking:
		return remote.best
	case p.remoteShare.requiresRemote():
		return remote.best
	case p.remoteShare.allowsRemote():
		return local.best.better(remote.best)
	default:
		return local.best
	}
}

// preferredTargets returns, for the local and for the remote regions, the target with the highest rendezvous hash of the
// affinity key.
func (p *Placer) preferredTargets(
	targets []*target, request *core.AdmitRequest, key uint64, now core.Instant,
) (local, remote regionCandidates) {
	if key == 0 {
		return local, remote
	}
	for _, t := range targets {
		if !p.usable(t, request, now) {
			continue
		}
		candidates := &local
		if t.Region != p.Region {
			candidates = &remote
		}
		if score := mix(key ^ t.hash); candidates.preferred == nil || score > candidates.score {
			candidates.preferred, candidates.score = t, score
		}
	}
	return local, remote
}

// cost estimates the time until a target's response: the round-trip time, the wait for a slot and the service time.
func (p *Placer) cost(t *target, request *core.AdmitRequest, key uint64, preferred bool, now core.Instant) time.Duration {
	slowdown := t.currentSlowdown(now)
	serviceTime := p.serviceTimes.mean(request.Route, preferred || t.keys.has(key))
	busy, slots := t.busy(now), max(1, t.Slots)
	wait := busyPenalty * float64(serviceTime) * min(1, float64(busy)/float64(slots))
	if busy >= slots {
		wait += float64(busy-slots+1) / float64(slots) * float64(p.serviceTimes.serviceMean(t.Service))
	}
	return p.roundTrip(t) + time.Duration(slowdown*(float64(serviceTime)+wait))
}

// affinity returns the hash of a request's affinity key and route, or 0 without a key.
func affinity(request *core.AdmitRequest) uint64 {
	if request.AffinityKey == "" {
		return 0
	}
	return hash(request.Route, request.AffinityKey) | 1
}
