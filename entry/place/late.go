package place

import (
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/rank"
)

const (
	// lateShareUnknown and lateShareKnown are the requests per slot up to which a target accepts requests that are expected to
	// miss their latency objective, if it does not and if it does know their affinity key. A request with a known key
	// occupies a slot for a fraction of the time, so that few others are late because of it. Requests that are expected to
	// miss their deadline are accepted up to lateShareUnknown, because only a response shows that the target has become faster.
	lateShareUnknown = 0.7
	lateShareKnown   = 2.0
	// freshShareUnknown and freshShareKnown replace them for services whose targets report their work time, so that the requests at a
	// target are known better. Learning an object there occupies a slot for longer than the wait of a request for a known one.
	freshShareUnknown = 0.35
	freshShareKnown   = 3.0
	// urgentShareUnknown replaces lateShareUnknown for requests of a rank that is preferred to others. With 0.7, 0.77 of the second of
	// three ranks were served in "too much" of TestRankedLoads, with 1.1 0.84, and with 1.4 0.82 and fewer in time.
	urgentShareUnknown = 1.1
	// surplusShareUnknown and surplusShareKnown replace them for requests beyond the share of their rank or customer, which get only
	// what the others leave idle.
	surplusShareUnknown = 0.2
	surplusShareKnown   = 0.8
)

// lateRoom holds the requests per slot up to which targets accept a request whatever is expected, if they do not and if they do
// know its affinity key.
type lateRoom struct {
	unknown, known float64
}

var (
	entitledRoom    = lateRoom{lateShareUnknown, lateShareKnown}
	freshRoom       = lateRoom{freshShareUnknown, freshShareKnown}
	freshUrgentRoom = lateRoom{urgentShareUnknown, freshShareKnown}
	surplusRoom     = lateRoom{surplusShareUnknown, surplusShareKnown}
	urgentRoom      = lateRoom{urgentShareUnknown, lateShareKnown}
)

// lateRoomOf returns the room for a request to a service, which may be nil, with a standing.
func lateRoomOf(s *service, standing *rank.Standing) lateRoom {
	fresh := s != nil && s.reportsWork
	switch {
	case standing.Urgent && fresh:
		return freshUrgentRoom
	case standing.Urgent:
		return urgentRoom
	case standing.Entitled && fresh:
		return freshRoom
	case standing.Entitled:
		return entitledRoom
	}
	return surplusRoom
}

// roomForLate reports whether the target would serve a late request without making many others late; remaining is the time to
// the deadline.
func (c *choice) roomForLate(now core.Instant, remaining time.Duration, room lateRoom) bool {
	share := room.unknown
	if c.expected <= remaining {
		share += c.known * (room.known - room.unknown)
	}
	return float64(c.target.busy(now)) < share*float64(c.target.Slots)
}
