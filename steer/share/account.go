package share

import (
	"maps"
	"math"

	"ebonyrouter.dev/core"
)

const (
	// spareFactor is the rate that a host gets in proportion to its demand while the quota suffices. The rest fills the pool,
	// from which hosts that suddenly receive callers are served at once.
	spareFactor = 1.5
	// hostRatePart is the largest part of the rate that hosts get. The rest fills the pool also when the demand exceeds the quota.
	hostRatePart = 0.85
	// exhaustedPart is the part of the quota above which an empty pool means that waiting is useless. The measured demand of
	// requests within the quota reaches 1.15 of it by chance.
	exhaustedPart = 1.3
	// hostBurstPart is the part of the burst that hosts may keep; the rest stays in the pool.
	hostBurstPart = 0.6
	// maxRatePerBurst is the largest rate per request of burst beside the one that is kept. What accrues with higher ones between
	// two asks of a host does not fit in its burst, and is lost instead of given back.
	maxRatePerBurst = 5.5
	// minHostBurst is the burst of a host with few requests, of which one is kept and what exceeds it is given back.
	minHostBurst = 2.0
	// leastHostBurst is the smallest burst that is worth holding. A host without one takes single requests from the pool.
	leastHostBurst = 1.25
	// leastHostDemand is the demand, in requests per second, below which a host holds nothing. Its unused requests would be missing
	// elsewhere.
	leastHostDemand = 0.3
)

// account is the division of one customer's quota. At any instant the rates of all holdings and the rate at which the pool
// fills add up to at most rate, and the bursts of all holdings and the content of the pool to at most burst.
type account struct {
	advanced core.Instant
	// burst and rate are the quota: requests, and requests per second.
	burst    float64
	customer string
	holdings map[holderKey]*holding
	// knownBurst and knownRate are what hosts have reported as granted by an earlier coordinator. Only they are divided while
	// unknown hosts may hold the rest.
	knownBurst float64
	knownRate  float64
	// pool is the number of requests that may be granted at once.
	pool float64
	rate float64
}

// holding is what one process may hold. While it is unknown whether a reply arrived, it is the larger of both shares.
type holding struct {
	burst  float64
	demand float64
	rate   float64
	until  core.Instant
}

// limits returns the rate and the burst that may be divided.
func (a *account) limits(partial bool) (rate, burst float64) {
	if partial {
		return min(a.rate, a.knownRate), min(a.burst, a.knownBurst)
	}
	return a.rate, a.burst
}

// held returns the sums over all holdings except one.
func (a *account) held(except *holding) (rate, burst, demand float64) {
	for _, h := range a.holdings {
		if h != except {
			rate, burst, demand = rate+h.rate, burst+h.burst, demand+h.demand
		}
	}
	return rate, burst, demand
}

// advance fills the pool with the rate that no host holds and removes the holdings that have ended. A holding that ended since
// the last call counts as held until now.
func (a *account) advance(now core.Instant, partial bool) {
	limitRate, limitBurst := a.limits(partial)
	rate, _, _ := a.held(nil)
	a.pool += max(0, limitRate-rate) * seconds(now.Sub(a.advanced))
	a.advanced = max(a.advanced, now)
	maps.DeleteFunc(a.holdings, func(_ holderKey, h *holding) bool { return now.After(h.until) })
	_, burst, _ := a.held(nil)
	a.clipPool(limitBurst, burst)
}

// clipPool limits the pool to the burst that no host holds.
func (a *account) clipPool(limit, held float64) {
	a.pool = min(a.pool, max(0, limit-held))
}

// answer records what a host holds and returns its new share.
func (a *account) answer(key holderKey, q core.QuotaDemand, now core.Instant, partial bool) core.QuotaShare {
	h := a.record(key, q, partial)
	share := core.QuotaShare{Customer: a.customer, Total: a.rate}
	limitRate, limitBurst := a.limits(partial)
	if q.Demand == 0 && q.Rate == 0 && q.Burst == 0 && q.Waiting == 0 {
		delete(a.holdings, key)
		_, burst, _ := a.held(nil)
		a.clipPool(limitBurst, burst)
		return share
	}
	h.demand, h.until = q.Demand, now.Add(holdTerm)
	otherRate, otherBurst, otherDemand := a.held(h)
	a.pool += q.Returned
	a.clipPool(limitBurst, otherBurst+h.burst)
	demand := otherDemand + h.demand
	if demand > 0 {
		part := hostRatePart
		if partial {
			part = 1
		}
		share.Rate = min(min(spareFactor, part*limitRate/demand)*h.demand, max(0, limitRate-otherRate))
	}
	share.Burst = a.hostBurst(h.demand, demand, limitBurst, otherBurst)
	if partial {
		share.Burst = max(share.Burst, h.burst)
	}
	share.Rate = min(share.Rate, max(0, share.Burst-1)*maxRatePerBurst)
	share.Tokens = a.grantTokens(q, share.Burst)
	share.Burst = max(share.Burst, min(h.burst, q.Level)+share.Tokens)
	share.Exhausted = demand > exhaustedPart*limitRate && a.pool < 1 && q.Level+share.Tokens < float64(max(1, q.Waiting))
	h.rate, h.burst = max(h.rate, share.Rate), max(h.burst, share.Burst)
	a.clipPool(limitBurst, otherBurst+h.burst)
	return share
}

// record returns the holding of a process, reduced to what it reports. A share that this coordinator does not know was granted
// by an earlier one.
func (a *account) record(key holderKey, q core.QuotaDemand, partial bool) *holding {
	h := a.holdings[key]
	if h != nil {
		h.rate, h.burst = min(h.rate, q.Rate), min(h.burst, q.Burst)
		return h
	}
	h = &holding{rate: q.Rate, burst: q.Burst}
	a.holdings[key] = h
	if partial {
		a.knownRate, a.knownBurst = a.knownRate+q.Rate, a.knownBurst+q.Burst
	}
	return h
}

// hostBurst returns the burst of a host: half equally and half by demand. A burst below one request is useless; such a host
// gets single requests from the pool.
func (a *account) hostBurst(demand, total, limit, others float64) float64 {
	budget := limit * hostBurstPart
	part := budget / 2 / float64(len(a.holdings)+2)
	if total > 0 {
		part += budget / 2 * demand / total
	}
	part = min(max(minHostBurst, part), budget-others)
	if demand < leastHostDemand || part < leastHostBurst {
		return 0
	}
	return part
}

// grantTokens takes from the pool what the waiting requests of a host need, or what lets it keep a part of its burst. It leaves
// no fractions of requests with hosts that could not use them.
func (a *account) grantTokens(q core.QuotaDemand, burst float64) float64 {
	tokens := 0.0
	if fill := max(1, burst/4) - q.Level; burst >= 1 && fill <= a.pool/2 {
		tokens = max(0, fill)
	}
	usable := math.Floor(q.Level + a.pool)
	tokens = max(tokens, min(float64(q.Waiting), usable)-q.Level)
	a.pool -= tokens
	return tokens
}
