package place

import (
	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/spread"
)

// service holds the targets of one service and what is known about all of them.
type service struct {
	local  regionTargets
	remote regionTargets
	// fingerprint identifies the targets, their regions and their slots.
	fingerprint uint64
	recall      *recall
	// probes is the number of positions of an affinity key on a ring.
	probes int
	slots  int
	// crowd is the moving average of the requests per slot that wait at the chosen targets. It is kept while reportsWork is set, which
	// means that targets of the service report their work time.
	crowd       float64
	reportsWork bool
}

// regionTargets are the targets of the local region, or of all remote regions.
type regionTargets struct {
	targets []*target
	// ring is nil until it is needed.
	ring *spread.Ring
}

// add adds a target.
func (s *service) add(t *target, region string) {
	slots := max(1, t.Slots)
	s.slots += slots
	s.fingerprint += mix(hash(t.ID, t.Region) + uint64(slots)) //nolint:gosec // slots is positive.
	if t.Region == region {
		s.local.targets = append(s.local.targets, t)
		return
	}
	s.remote.targets = append(s.remote.targets, t)
}

// recordChoice records the number of requests at a chosen target.
func (s *service) recordChoice(busy, slots int) {
	if s.reportsWork {
		s.crowd += (min(maxCrowd, max(0, float64(busy)/float64(max(1, slots))-1)) - s.crowd) / crowdDivisor
	}
}

// inherit takes over what an earlier list of targets had, which may be nil.
func (s *service) inherit(previous *service) {
	if previous == nil {
		s.recall = newRecall()
		return
	}
	s.recall = previous.recall
	s.crowd, s.reportsWork = previous.crowd, previous.reportsWork
	if s.fingerprint == previous.fingerprint && s.probes == previous.probes {
		// The rings refer to the targets by their index.
		s.local, s.remote = previous.local, previous.remote
	}
}

// ringOf returns the ring of a part of the service's targets.
func (s *service) ringOf(part *regionTargets) *spread.Ring {
	if part.ring == nil {
		part.ring = newRing(part.targets, s.slots, s.probes)
	}
	return part.ring
}

// localWorking reports whether any target of the local region works.
func (p *Placer) localWorking(s *service, request *core.AdmitRequest) bool {
	for _, t := range s.local.targets {
		if p.working(t, request) {
			return true
		}
	}
	return false
}
