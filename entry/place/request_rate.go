package place

import (
	"math"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// rateWindow is the time constant of the moving average of the request rate.
	rateWindow = time.Second
	// minRate is the rate in requests per second below which a host counts as idle.
	minRate = 0.1
)

// requestRate measures the rate of the requests that this host receives.
type requestRate struct {
	count     int
	perSecond float64
	updated   core.Instant
}

// update adds the requests counted since the last call to the moving average and returns it, in requests per second.
func (r *requestRate) update(now core.Instant) float64 {
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 {
		return r.perSecond
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(rateWindow))
	r.perSecond += (float64(r.count)/elapsed.Seconds() - r.perSecond) * weight
	if r.perSecond < minRate {
		r.perSecond = 0
	}
	r.count, r.updated = 0, now
	return r.perSecond
}
