package place

import "ebonyrouter.dev/core"

// service holds the targets of one service and what is known about all of them.
type service struct {
	local  regionTargets
	remote regionTargets
	// fingerprint identifies the targets, their regions and their slots.
	fingerprint uint64
	recall      *recall
	slots       int
}

// regionTargets are the targets of the local region, or of all remote regions.
type regionTargets struct {
	targets []*target
	// ring is nil until it is needed.
	ring ring
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

// inherit takes over what an earlier list of targets had, which may be nil.
func (s *service) inherit(previous *service) {
	if previous == nil {
		s.recall = newRecall()
		return
	}
	s.recall = previous.recall
	if s.fingerprint == previous.fingerprint {
		s.local.ring, s.remote.ring = previous.local.ring, previous.remote.ring
	}
}

// ringOf returns the ring of a part of the service's targets.
func (s *service) ringOf(part *regionTargets) ring {
	if part.ring == nil && len(part.targets) > 0 {
		part.ring = newRing(part.targets, s.slots)
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
