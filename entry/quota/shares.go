package quota

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// idleTerm is the time without requests after which the share of a customer is given back.
	idleTerm = 5 * time.Second
	// exhaustedTerm is the time for which requests are refused at once after the coordinator had nothing left.
	exhaustedTerm = 250 * time.Millisecond
	// roundingError is the most by which sums of granted parts differ from whole requests.
	roundingError = 1e-9
	// releaseFactor and releaseRate bound the rate that a host keeps without need: what is beyond releaseFactor x demand +
	// releaseRate is given back with the next ask, before other hosts need it.
	releaseFactor = 3
	releaseRate   = 0.5
)

// Verdict is the decision on one request.
type Verdict int

// Verdicts on a request.
const (
	// Refused means that the request is over the quota.
	Refused Verdict = iota
	// Taken means that the request was counted and may run.
	Taken
	// Pending means that the coordinator may have more for the host. The request was not counted.
	Pending
)

// Shares holds the shares of one process. It has no clock and is not safe for concurrent use.
type Shares struct {
	// answered means that the latest ask was answered.
	answered    bool
	bounds      core.QuotaBounds
	customers   map[string]*customer
	host        string
	incarnation string
	// askedAt is the instant of the latest ask, whose number is number.
	askedAt core.Instant
	number  int64
	// started is the instant from which the fallback of all customers has filled.
	started core.Instant
	// token is the highest that the process knows. Replies of earlier elections are ignored.
	token core.QuotaToken
}

// Change is a share whose rate has changed by more than a quarter.
type Change struct {
	Customer string
	Old      float64
	New      float64
}

// NewShares returns the shares of a process that holds nothing yet.
func NewShares(host, incarnation string, bounds core.QuotaBounds, now core.Instant) *Shares {
	return &Shares{bounds: bounds, customers: map[string]*customer{}, host: host, incarnation: incarnation, started: now}
}

// Take counts one request of a customer. Rank and hosts order the hosts for the fallback; a rank below 0 permits none.
func (s *Shares) Take(settings *core.CustomerSettings, rank, hosts int, now core.Instant) Verdict {
	c := s.customers[settings.Name]
	if c == nil {
		// The first measurement covers firstMeasured, so that one request is not taken for a high rate.
		c = &customer{refilled: now, demandAt: now.Add(-firstMeasured), settings: settings}
		s.customers[settings.Name] = c
	}
	c.settings, c.usedAt = settings, now
	c.fallbackRate, c.fallbackBurst = s.bounds.Fallback(settings, rank, hosts)
	c.refill(now, s.started)
	c.follow()
	switch {
	case c.level >= 1-roundingError:
		c.level = max(0, c.level-1)
	case c.fallback >= 1:
		c.fallback--
	case now.Before(c.exhaustedUntil):
		return Refused
	default:
		return Pending
	}
	return Taken
}

// Count adds a request to the demand of its customer, whatever its verdict. It is called once per request.
func (s *Shares) Count(name string) {
	if c := s.customers[name]; c != nil {
		c.arrived++
	}
}

// Wait adds delta to the number of requests of a customer that wait for a share.
func (s *Shares) Wait(name string, delta int) {
	if c := s.customers[name]; c != nil {
		c.waiting += delta
	}
}

// Waiting returns the number of requests that wait for a share.
func (s *Shares) Waiting() int {
	total := 0
	for _, c := range s.customers {
		total += c.waiting
	}
	return total
}

// Len returns the number of customers of which the process keeps something.
func (s *Shares) Len() int {
	return len(s.customers)
}

// RetryAfter returns the time after which the host can probably take another request of a customer.
func (s *Shares) RetryAfter(name string) time.Duration {
	const shortest, longest, unknown = 100 * time.Millisecond, 5 * time.Second, 500 * time.Millisecond
	c := s.customers[name]
	if c == nil || c.rate <= 0 {
		return unknown
	}
	return min(longest, max(shortest, time.Duration((1-c.level)/c.rate*float64(time.Second))))
}

// Ask returns what to ask of the coordinator, or false if there is nothing. An urgent ask is only for customers that are short;
// any other also gives back the shares that are not needed any more.
func (s *Shares) Ask(urgent bool, now core.Instant) (core.QuotaAsk, bool) {
	// While the coordinator does not answer, what would be given back is lost to all hosts.
	answered := s.answered
	s.answered = false
	s.number++
	s.askedAt = now
	ask := core.QuotaAsk{Host: s.host, Incarnation: s.incarnation, Number: s.number, Token: s.token}
	for name, c := range s.customers {
		c.refill(now, s.started)
		if urgent && !c.short() {
			continue
		}
		if len(ask.Customers) >= core.MaxQuotaCustomers {
			// The order of a map is random, so that the others are in one of the next asks before their leases end.
			break
		}
		c.measure(now)
		switch idle := now.Sub(c.usedAt) >= idleTerm && c.waiting == 0; {
		case idle && c.released:
			// The share was given back before. A fallback that is not full must be remembered.
			if c.fallback >= c.fallbackBurst {
				delete(s.customers, name)
			}
			continue
		case idle:
			c.drop()
			c.demand = 0
		}
		c.released = c.demand == 0 && c.waiting == 0
		returned := 0.0
		if answered {
			c.rate = min(c.rate, releaseFactor*c.demand+releaseRate)
			returned = c.giveBack()
		}
		ask.Customers = append(ask.Customers, core.QuotaDemand{
			Burst: c.burst, Customer: name, Demand: c.demand, Level: c.level, Rate: c.rate, Returned: returned, Waiting: c.waiting,
		})
	}
	slices.SortFunc(ask.Customers, func(a, b core.QuotaDemand) int { return strings.Compare(a.Customer, b.Customer) })
	return ask, len(ask.Customers) > 0
}

// Short reports whether an ask before the next regular one can help a customer.
func (s *Shares) Short(name string) bool {
	c := s.customers[name]
	return c != nil && c.short()
}

// Describe states the share of a customer for the log and for the text of a refusal.
func (s *Shares) Describe(name string, now core.Instant) string {
	c := s.customers[name]
	if c == nil || !now.Before(c.until) {
		return fmt.Sprintf("no share, election %d/%d", s.token.Era, s.token.Number)
	}
	return fmt.Sprintf("share of %.3g/s of %.3g/s, burst %.3g, level %.2f, demand %.3g/s, granted %.2f s ago by election %d/%d",
		c.rate, c.total, c.burst, c.level, c.demand, now.Sub(c.grantedAt).Seconds(), s.token.Era, s.token.Number)
}

// Adopt replaces the shares by those of the reply to the latest ask. Their leases count from before the ask.
func (s *Shares) Adopt(reply core.QuotaReply, now core.Instant) (changes []Change, adopted bool) {
	if !reply.Coordinating || reply.Number != s.number || reply.Token.Less(s.token) {
		return nil, false
	}
	s.token = reply.Token
	s.answered = true
	until := s.askedAt.Add(core.QuotaLease)
	if !now.Before(until) {
		return nil, false
	}
	for _, share := range reply.Shares {
		c := s.customers[share.Customer]
		if c == nil || c.released {
			continue
		}
		c.refill(now, s.started)
		if old := c.rate; share.Rate > old*5/4 || share.Rate < old*3/4 {
			changes = append(changes, Change{Customer: share.Customer, Old: old, New: share.Rate})
		}
		c.rate, c.burst, c.total, c.until = share.Rate, share.Burst, share.Total, until
		c.level = min(c.level+share.Tokens, c.burst)
		c.follow()
		c.grantedAt = now
		if share.Exhausted {
			c.exhaustedUntil = now.Add(exhaustedTerm)
		}
	}
	return changes, true
}

// Follow records the token of a coordinator that was found. It returns false if a later one is known.
func (s *Shares) Follow(token core.QuotaToken) bool {
	if token.Less(s.token) {
		return false
	}
	s.token = token
	return true
}
