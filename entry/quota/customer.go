package quota

import (
	"math"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// averagedRequests is the number of requests over which the demand is averaged, within minDemandTerm and maxDemandTerm. With
	// fewer, the shares of hosts with few requests depend on chance. A faster rise than fall would overstate their demand.
	averagedRequests = 5
	minDemandTerm    = 1500 * time.Millisecond
	maxDemandTerm    = 6 * time.Second
	// firstMeasured is the span of the first measurement of a customer.
	firstMeasured = time.Second
	// minMeasured is the shortest span of a measurement.
	minMeasured = 100 * time.Millisecond
	// minLowBurst is the smallest burst of which a low rest is a reason for an ask; smaller ones are low all the time.
	minLowBurst = 4
)

// customer is the share of one customer and the demand for it.
type customer struct {
	// arrived counts the requests since the last measurement.
	arrived float64
	// burst, level and rate are the share: the most unused requests, the unused requests, and requests per second.
	burst float64
	level float64
	rate  float64
	// demand is the recent rate of requests per second, measured at demandAt.
	demand   float64
	demandAt core.Instant
	// exhaustedUntil is the instant until which the coordinator has nothing more.
	exhaustedUntil core.Instant
	// fallback is the number of requests that may be taken without a share; it fills with fallbackRate up to fallbackBurst.
	fallback      float64
	fallbackBurst float64
	fallbackRate  float64
	grantedAt     core.Instant
	refilled      core.Instant
	// fallbackBegun means that fallback holds the amount that has filled since the start of the process.
	fallbackBegun bool
	// released means that the share was given back.
	released bool
	settings *core.CustomerSettings
	// total is the quota of which rate is a part, in requests per second.
	total   float64
	until   core.Instant
	usedAt  core.Instant
	waiting int
}

// refill adds what has accrued since the last call. A share whose lease has ended is lost with its unused part.
func (c *customer) refill(now, started core.Instant) {
	elapsed := max(0, now.Sub(c.refilled).Seconds())
	c.refilled = max(c.refilled, now)
	if !c.fallbackBegun && c.fallbackBurst > 0 {
		c.fallbackBegun = true
		c.fallback = c.fallbackRate * max(0, now.Sub(started).Seconds())
	}
	c.fallback = min(c.fallback+c.fallbackRate*elapsed, c.fallbackBurst)
	if !now.Before(c.until) {
		c.drop()
		return
	}
	c.level = min(c.level+c.rate*elapsed, c.burst)
}

// short reports whether requests wait, or there is no share or its unused part is low and the coordinator had something left.
func (c *customer) short() bool {
	none := !c.refilled.Before(c.until)
	low := c.burst >= minLowBurst && c.level < c.burst/4
	return c.waiting > 0 || (none || low) && !c.refilled.Before(c.exhaustedUntil)
}

// drop ends the share.
func (c *customer) drop() {
	c.burst, c.level, c.rate = 0, 0, 0
}

// follow reduces the share if the settings of this host have a lower quota than the one that was divided. If all hosts do so, their
// shares stay within the lower quota also while the coordinator does not answer.
func (c *customer) follow() {
	if c.settings.RequestsPerSecond >= c.total {
		return
	}
	part := c.settings.RequestsPerSecond / c.total
	c.rate, c.burst, c.total = c.rate*part, c.burst*part, c.settings.RequestsPerSecond
	c.level = min(c.level, c.burst)
}

// giveBack reduces the unused part and the burst by what other hosts may need more, and returns it. The burst shrinks as well,
// because the unused part could otherwise grow again while the returned one is used elsewhere.
func (c *customer) giveBack() float64 {
	returned := max(0, c.level-max(1, c.burst/2))
	c.level -= returned
	c.burst -= returned
	return returned
}

// measure updates the demand.
func (c *customer) measure(now core.Instant) {
	span := now.Sub(c.demandAt)
	if span < minMeasured {
		return
	}
	measured := c.arrived / span.Seconds()
	term := min(maxDemandTerm.Seconds(), max(minDemandTerm.Seconds(), averagedRequests/max(c.demand, (c.demand+measured)/2, 1e-3)))
	c.demand += (measured - c.demand) * (1 - math.Exp(-span.Seconds()/term))
	c.demandAt, c.arrived = now, 0
}
