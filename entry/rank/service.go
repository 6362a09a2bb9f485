package rank

import (
	"slices"
	"time"

	"ebonyrouter.dev/core"
)

// rate is a moving average of a rate in requests per second.
type rate struct {
	count     float64
	perSecond float64
}

// advance ends a window and returns the number of requests in it.
func (r *rate) advance(elapsed time.Duration, current float64) {
	r.perSecond += (r.count/elapsed.Seconds() - r.perSecond) * current
	r.count = 0
}

// service holds the ranks and customers of a service and its room.
type service struct {
	active []*customer
	// admitted counts requests that were sent, refused entitled ones for which no target had room.
	admitted rate
	refused  rate
	// episode counts the times that the service became scarce.
	episode      int
	fullReported bool
	// kinds is sorted by priority, the most urgent first.
	kinds []*kind
	// room is the rate that the service is expected to admit while it is scarce.
	room   float64
	routes map[string]*routeTime
	scarce bool
	start  core.Instant
}

const (
	// roomTime is the time constant of the rates from which the room is estimated.
	roomTime = time.Second
	// refusedLimit is the part of the entitled requests that may be refused by targets before the service counts as scarce.
	refusedLimit = 0.02
	// roomFactor is the ratio of the estimated room to the rate admitted lately. With less, targets idle that only some of the
	// requests could use.
	roomFactor = 1.0
	// roomGrowth is the part by which the estimate grows in a window without refusals.
	roomGrowth = 0.04
	// endFactor is the ratio of the room to the offered rate from which the service is no longer scarce.
	endFactor = 1.1
)

func newService(now core.Instant) *service {
	return &service{routes: map[string]*routeTime{}, start: now}
}

// rank returns the entry of a priority.
func (s *service) rank(priority int64) *kind {
	i := 0
	for ; i < len(s.kinds); i++ {
		if s.kinds[i].priority == priority {
			return s.kinds[i]
		}
		if s.kinds[i].priority > priority {
			break
		}
	}
	if len(s.kinds) >= maxKinds {
		return s.kinds[min(i, maxKinds-1)]
	}
	k := &kind{customers: map[string]*customer{}, priority: priority, share: 1}
	s.kinds = slices.Insert(s.kinds, i, k)
	return k
}

// advance computes the shares anew if the window has ended.
func (s *service) advance(now core.Instant, r *Ranker) Notice {
	elapsed := now.Sub(s.start)
	if elapsed < window {
		return NoticeNone
	}
	s.start = now
	s.updateRates(now, elapsed, r)
	offered := 0.0
	for _, k := range s.kinds {
		offered += k.offered
	}
	wasScarce := s.scarce
	s.updateRoom(elapsed, offered)
	if s.scarce {
		s.divide(offered)
	}
	switch {
	case s.scarce && !wasScarce:
		s.episode++
		return NoticeScarce
	case wasScarce && !s.scarce:
		for _, c := range s.active {
			c.share, c.credit, c.kind.share = 1, 1, 1
		}
		return NoticeRoom
	}
	return NoticeNone
}

// updateRates ends the window of all customers and forgets those that have not been seen for long.
func (s *service) updateRates(now core.Instant, elapsed time.Duration, r *Ranker) {
	current, usual := weight(elapsed, rateTime), weight(elapsed, usualTime)
	for _, k := range s.kinds {
		k.offered, k.members = 0, k.members[:0]
	}
	kept := s.active[:0]
	for _, c := range s.active {
		if now.Sub(c.lastSeen) > forgetTime {
			delete(c.kind.customers, c.name)
			r.customers--
			continue
		}
		c.advance(now, elapsed, current, usual)
		c.kind.offered += c.offered
		c.kind.members = append(c.kind.members, c)
		kept = append(kept, c)
	}
	clear(s.active[len(kept):])
	s.active = kept
	if len(kept) < maxCustomers/2 {
		s.fullReported = false
	}
}

// updateRoom estimates the room from what was admitted lately, and from whether targets had no room for entitled requests.
func (s *service) updateRoom(elapsed time.Duration, offered float64) {
	current := weight(elapsed, roomTime)
	s.admitted.advance(elapsed, current)
	s.refused.advance(elapsed, current)
	if s.refused.perSecond > refusedLimit*(s.admitted.perSecond+s.refused.perSecond) {
		s.scarce, s.room = true, roomFactor*s.admitted.perSecond
		return
	}
	if !s.scarce {
		return
	}
	s.room *= 1 + roomGrowth*min(10, float64(elapsed)/float64(window))
	s.scarce = s.room < endFactor*offered
}

// divide divides the room among the ranks. Each gets a part of the mean share, and the rest goes to the most urgent ones first.
func (s *service) divide(offered float64) {
	if offered <= 0 {
		return
	}
	least := leastShare * min(1, s.room/offered)
	rest := s.room - least*offered
	for _, k := range s.kinds {
		extra := min(rest, (1-least)*k.offered)
		k.divide(least*k.offered+extra, least, len(s.kinds) == 1)
		rest = max(0, rest-extra)
	}
	lowest := s.kinds[len(s.kinds)-1].share
	for _, k := range s.kinds {
		k.urgent = k.share > lowest
	}
}
