package place

import "time"

const (
	// defaultServiceTime is the service time of a route or service without measurements.
	defaultServiceTime = 500 * time.Millisecond
	// meanDivisor is the inverse of the weight of a new sample in a moving average.
	meanDivisor = 16
	// decreaseDivisor and increaseDivisor replace meanDivisor for samples of known keys below and above the mean. A target
	// may no longer know a key that this process expects it to know; the slow samples of such keys must raise the mean of
	// known keys only slowly.
	decreaseDivisor = 4
	increaseDivisor = 64
)

// serviceTimeKey identifies a mean service time: of a route's requests with an affinity key known to the target, of a
// route's other requests, or of a service.
type serviceTimeKey struct {
	keyKnown bool
	name     string
}

// serviceTimes holds moving averages of service times.
type serviceTimes map[serviceTimeKey]time.Duration

// serviceMean returns the mean service time of a service.
func (s serviceTimes) serviceMean(service string) time.Duration {
	return s.mean(service, false)
}

// record adds a sample.
func (s serviceTimes) record(name string, keyKnown bool, sample time.Duration) {
	key := serviceTimeKey{keyKnown, name}
	mean, found := s[key]
	if !found {
		mean = sample
	}
	divisor := time.Duration(meanDivisor)
	switch {
	case keyKnown && sample < mean:
		divisor = decreaseDivisor
	case keyKnown:
		divisor = increaseDivisor
	}
	s[key] = mean + (sample-mean)/divisor
}

// mean returns the mean service time of a route or service, or an estimate if none has been measured.
func (s serviceTimes) mean(name string, keyKnown bool) time.Duration {
	if mean, found := s[serviceTimeKey{keyKnown, name}]; found {
		return mean
	}
	if keyKnown {
		return time.Duration(defaultKnownShare * float64(s.mean(name, false)))
	}
	return defaultServiceTime
}
