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
)

// estimate estimates the time until a target's response: the round-trip time, the wait for a slot and the service time.
func (c *comparison) estimate(t *target, place int) choice {
	candidate := choice{
		key: c.key, distance: unseen, place: place, slowdown: max(t.currentSlowdown(c.now), t.overdueSlowdown(c.now)), target: t,
	}
	candidate.slowdown *= t.workTime.current(c.now)
	serviceTime, penalty := c.unknownTime, 0.0
	if c.key != 0 {
		candidate.distance = t.keys.distance(c.key)
		candidate.known = c.service.recall.probability(place, candidate.distance)
		serviceTime -= candidate.known * c.savedTime
		if place != c.home {
			penalty = c.savedTime * (movePenalty + missPenalty*c.service.recall.missShare) * (1 + placePenalty*float64(place))
		}
	}
	busy, slots := t.busy(c.now), max(1, t.Slots)
	wait := busyPenalty * serviceTime * min(1, float64(busy)/float64(slots))
	if busy >= slots {
		wait += float64(busy-slots+1) / float64(slots) * c.meanTime
	}
	candidate.expected = c.roundTrip(t) + time.Duration(candidate.slowdown*(serviceTime+wait))
	candidate.cost = candidate.expected + time.Duration(penalty)
	return candidate
}
