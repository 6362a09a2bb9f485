package place

import (
	"math"
	"time"
)

const (
	// defaultServiceTime is the service time of a route or service without measurements.
	defaultServiceTime = 500 * time.Millisecond
	// defaultKnownShare is the share of the usual service time that a target is assumed to need for an affinity key that it
	// knows, until such a request has been measured.
	defaultKnownShare = 1.0 / 3
	// meanDivisor is the inverse of the weight of a new sample in a moving average.
	meanDivisor = 16
)

// serviceTimeKey identifies a mean service time: of a route's requests with an affinity key known to the target, of a
// route's other requests, or of a service.
type serviceTimeKey struct {
	keyKnown bool
	name     string
}

// serviceTimes holds moving averages of service times.
type serviceTimes map[serviceTimeKey]time.Duration

// record adds a sample.
func (s serviceTimes) record(name string, keyKnown bool, sample time.Duration) {
	key := serviceTimeKey{keyKnown, name}
	mean, found := s[key]
	if !found {
		mean = sample
	}
	s[key] = mean + (sample-mean)/meanDivisor
}

// routeMean returns the mean service time of a route's requests whose key the target knows or does not know, or an estimate
// if none has been measured.
func (s serviceTimes) routeMean(route string, keyKnown bool) time.Duration {
	if mean, found := s[serviceTimeKey{keyKnown, route}]; found {
		return mean
	}
	if keyKnown {
		return time.Duration(defaultKnownShare * float64(s.routeMean(route, false)))
	}
	if mean, found := s[serviceTimeKey{true, route}]; found {
		return time.Duration(float64(mean) / defaultKnownShare)
	}
	return defaultServiceTime
}

// serviceMean returns the mean service time of a service.
func (s serviceTimes) serviceMean(service string) time.Duration {
	if mean, found := s[serviceTimeKey{name: service}]; found {
		return mean
	}
	return defaultServiceTime
}

// knownLimit returns the service time below which a target is taken to have known the key of a request.
func (s serviceTimes) knownLimit(route string) time.Duration {
	return time.Duration(math.Sqrt(float64(s.routeMean(route, false)) * float64(s.routeMean(route, true))))
}
