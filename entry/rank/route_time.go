package rank

import (
	"time"

	"ebonyrouter.dev/core"
)

// routeTime is the time that callers of a route usually allow.
type routeTime struct {
	// highest is the longest time of the current period, and usual that of the previous one or of the current one.
	highest time.Duration
	usual   time.Duration
	start   core.Instant
}

const (
	// routePeriod is the time after which the usual time of a route follows callers that allow less.
	routePeriod = 10 * time.Second
	// returnedPart and returnedLeast are how much less than usual a caller that came back allows: it has waited for at least the
	// shortest Retry-After, which is 50 ms.
	returnedPart  = 0.01
	returnedLeast = 40 * time.Millisecond
	// maxRoutes bounds the routes of a service whose usual time is kept.
	maxRoutes = 256
)

// returned reports whether the caller of a request has probably been refused before: it allows less time than others of its route.
func (s *service) returned(request *core.AdmitRequest, now core.Instant) bool {
	remaining := request.Deadline.Sub(now)
	r := s.routes[request.Route]
	if r == nil {
		if len(s.routes) >= maxRoutes {
			return false
		}
		r = &routeTime{start: now}
		s.routes[request.Route] = r
	}
	if now.Sub(r.start) >= routePeriod {
		r.start, r.usual, r.highest = now, max(r.highest, remaining), 0
	}
	r.highest = max(r.highest, remaining)
	r.usual = max(r.usual, remaining)
	return remaining < r.usual-max(returnedLeast, time.Duration(returnedPart*float64(r.usual)))
}
