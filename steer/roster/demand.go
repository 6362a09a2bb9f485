package roster

import (
	"math"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// defaultRequestTime is the assumed time that a request occupies a slot of a target. It converts slots into a
	// demand that is used until the hosts report a higher one.
	defaultRequestTime = 500 * time.Millisecond
	// rateMaxAge is the age beyond which a host's reported rate is stale.
	rateMaxAge = 3 * time.Second
	// peakHalfLife is the time in which the weight of a demand peak falls by half.
	peakHalfLife = 10 * time.Second
)

// rate is a reported rate of requests per second and the time of the report.
type rate struct {
	reportedAt core.Instant
	perSecond  float64
}

// demand estimates how many requests per second the callers of the region send to all of its hosts.
type demand struct {
	peak   float64
	peakAt core.Instant
	rates  map[string]rate
}

// record stores the reported rate of one host and raises the peak if the sum of all recent rates reaches it.
func (d *demand) record(host string, perSecond float64, now core.Instant) {
	d.rates[host] = rate{now, perSecond}
	sum := 0.0
	for name, r := range d.rates {
		if now.Sub(r.reportedAt) > rateMaxAge {
			delete(d.rates, name)
			continue
		}
		sum += r.perSecond
	}
	if sum >= d.current(now) {
		d.peak, d.peakAt = sum, now
	}
}

// current returns the demand in requests per second. It decays slowly after a peak, so that callers do not move between
// hosts with every fluctuation.
func (d *demand) current(now core.Instant) float64 {
	return d.peak * math.Exp2(-float64(now.Sub(d.peakAt))/float64(peakHalfLife))
}
