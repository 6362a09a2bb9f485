package place

import "time"

const (
	// ratioDivisor is the inverse of the weight of a new sample in the moving average.
	ratioDivisor = 16
	// maxRatio bounds a sample. A larger ratio is caused by single targets rather than by the estimates of the whole
	// service.
	maxRatio = 4
)

// latencyRatios holds for each service the moving average of measured to expected response times. It corrects for what the
// estimates omit: requests from other regions, and affinity keys that a target no longer knows.
type latencyRatios map[string]float64

// correct returns the expected response time of a service, scaled up by its recent ratio; it is never scaled down.
func (r latencyRatios) correct(service string, expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * max(1, r[service]))
}

// record adds the measured time of a response and the time that was expected for it.
func (r latencyRatios) record(service string, expected, measured time.Duration) {
	if expected <= 0 {
		return
	}
	sample := min(maxRatio, float64(measured)/float64(expected))
	if _, found := r[service]; !found {
		r[service] = 1
	}
	r[service] += (sample - r[service]) / ratioDivisor
}
