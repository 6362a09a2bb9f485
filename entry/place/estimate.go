package place

import "time"

const (
	// busyPenalty is the share of the service time that is added to the cost of a target with all slots in use, so that
	// requests spread over targets that would all serve them without a wait. The penalty grows linearly with the busy slots.
	busyPenalty = 0.2
	// movePenalty is the part of the time that a known key saves which is added to the cost of a target that is not the home
	// of the key, because the target will forget another key. It grows by missPenalty for the share of forgotten keys,
	// and by placePenalty of itself with each place.
	movePenalty  = 0.4
	missPenalty  = 2.5
	placePenalty = 0.5
	// crowdPenalty is the factor by which movePenalty grows for each request per slot that waits at targets, for services whose targets
	// report their work time. An object that is learned again takes its time from all that wait.
	crowdPenalty = 4.0
	// maxCrowd bounds the waiting requests per slot that count, and crowdDivisor is the inverse of the weight of a new sample of them.
	maxCrowd     = 2.0
	crowdDivisor = 64
)

// estimate estimates the time until a target's response: the round-trip time, the wait for a slot and the service time.
func (c *comparison) estimate(t *target, place int) choice {
	candidate := choice{
		key: c.key, distance: unseen, place: place, slowdown: max(t.currentSlowdown(c.now), t.overdueSlowdown(c.now)), target: t,
	}
	candidate.workFactor = t.workTime.current(c.now)
	candidate.slowdown *= candidate.workFactor
	serviceTime, penalty := c.unknownTime, 0.0
	if c.key != 0 {
		candidate.distance = t.keys.distance(c.key)
		candidate.known = c.service.recall.probability(place, candidate.distance)
		serviceTime -= candidate.known * c.savedTime
		if place != c.home {
			penalty = (1 + crowdPenalty*c.service.crowd) * c.savedTime * (movePenalty + missPenalty*c.service.recall.missShare) * (1 + placePenalty*float64(place))
		}
	}
	busy, slots := t.busy(c.now), max(1, t.Slots)
	wait := busyPenalty * serviceTime * min(1, float64(busy)/float64(slots))
	if busy >= slots {
		wait += float64(busy-slots+1) / float64(slots) * c.meanTime
		candidate.wait = time.Duration(candidate.slowdown * wait)
	}
	candidate.expected = c.roundTrip(t) + time.Duration(candidate.slowdown*(serviceTime+wait))
	candidate.cost = candidate.expected + time.Duration(penalty)
	return candidate
}
