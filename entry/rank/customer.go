package rank

import (
	"time"

	"ebonyrouter.dev/core"
)

// customer holds what a customer offers to a service with one priority.
type customer struct {
	name string
	kind *kind
	// count is the number of requests in the current window.
	count float64
	// credit grows by share with each request, and an entitled request costs 1.
	credit    float64
	firstSeen core.Instant
	lastSeen  core.Instant
	// offered is the current rate and usual the usual one, in requests per second; total counts requests within learnTime.
	offered float64
	usual   float64
	total   float64
	// reported is the last episode of scarcity in which the customer's excess was logged.
	reported int
	share    float64
}

const (
	// maxCredit bounds the credit that a customer saves.
	maxCredit = 2
	// maxDebt bounds the credit that callers who come back borrow from later requests of the customer.
	maxDebt = 2
	// maxRoomIn bounds the time that refused callers are told.
	maxRoomIn = 5 * time.Second
)

// spend adds the credit of a request and reports whether it is entitled. A caller that came back borrows from later requests, so that it
// is preferred to new ones without increasing the share of the customer.
func (c *customer) spend(returned bool) bool {
	if c.share >= 1 {
		c.credit = max(1, c.credit)
		return true
	}
	c.credit = min(maxCredit, c.credit+c.share)
	least := 1.0
	if returned {
		least -= maxDebt
	}
	if c.credit < least {
		return false
	}
	c.credit--
	return true
}

// roomIn returns the time until the customer's next request is entitled at its current rate.
func (c *customer) roomIn() time.Duration {
	perSecond := c.share * max(c.offered, smallRate)
	if c.credit >= 1 || perSecond <= 0 {
		return 0
	}
	return min(maxRoomIn, time.Duration((1-c.credit)/perSecond*float64(time.Second)))
}

// advance ends a window and updates the rates.
func (c *customer) advance(now core.Instant, elapsed time.Duration, current, usual float64) {
	sample := c.count / elapsed.Seconds()
	c.offered += (sample - c.offered) * current
	if age := now.Sub(c.firstSeen); age < learnTime {
		c.total += c.count
		c.usual = c.total / max(rateTime, age).Seconds()
	} else {
		c.usual += (min(sample, usualGrowth*max(c.usual, smallRate)) - c.usual) * usual
	}
	c.count = 0
}

// fair returns the part of the offered rate that is no excess.
func (c *customer) fair() float64 {
	return min(c.offered, fairFactor*c.usual+smallRate)
}

// fairFactor is the ratio of the fair rate of a customer to its usual rate. The rates of ordinary customers vary by less within
// rateTime, unless they are small, for which smallRate is added.
const fairFactor = 1.25
