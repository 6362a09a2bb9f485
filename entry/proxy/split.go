package proxy

import (
	"sync"

	"ebonyrouter.dev/core"
)

// splitter distributes the requests of each route among its services in proportion to their weights, by smooth weighted
// round-robin.
type splitter struct {
	credits  map[*core.RouteSettings][]int64
	mutex    sync.Mutex
	snapshot *core.Snapshot
}

// choose returns the service of the next request. After any number of requests, the count of each service is within
// about one request of its share; with many services the difference can be slightly larger.
func (s *splitter) choose(snapshot *core.Snapshot, route *core.RouteSettings) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.snapshot != snapshot {
		s.snapshot = snapshot
		s.credits = map[*core.RouteSettings][]int64{}
	}
	credits := s.credits[route]
	if credits == nil {
		credits = make([]int64, len(route.Backends))
		s.credits[route] = credits
	}
	sum, best := int64(0), 0
	for i, b := range route.Backends {
		credits[i] += b.Weight
		sum += b.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= sum
	return route.Backends[best].Service
}
