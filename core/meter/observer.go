package meter

import (
	"fmt"
	"strconv"
	"sync"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

var (
	_ core.Observer        = (*Observer)(nil)
	_ core.RefusalObserver = (*Observer)(nil)
)

// Observer records finished requests in a Meter.
type Observer struct {
	// counters caches the counter of each result, because formatting its name took 3% of the time of a rejection.
	counters sync.Map
	meter    *Meter
}

// NewObserver returns an Observer that records in m.
func NewObserver(m *Meter) *Observer {
	return &Observer{meter: m}
}

// incrementer is the part of a counter that Observer uses.
type incrementer interface {
	Inc()
}

// result holds the label values of the request counter.
type result struct {
	code    codes.Code
	ran     core.Ran
	relayed bool
}

// ObserveRequest implements core.Observer.ObserveRequest.
func (o *Observer) ObserveRequest(report core.RequestReport) {
	o.counter(result{report.Code, report.Ran, report.Relayed}).Inc()
	if report.Relayed {
		return
	}
	o.meter.RecordLatency(report.Service, report.Class, report.Latency)
	o.meter.RecordTenant(report.Service, report.Tenant, report.Latency)
}

// maxPriorities is the number of priorities that the counter of refusals tells apart; lower ones count as Other.
const maxPriorities = 8

// ObserveRefusal implements core.RefusalObserver.ObserveRefusal.
func (o *Observer) ObserveRefusal(priority int64, reason core.RefusalReason) {
	key := refusal{min(maxPriorities, max(0, priority)), reason}
	if cached, ok := o.counters.Load(key); ok {
		cached.(incrementer).Inc()
		return
	}
	rank := Other
	if key.priority < maxPriorities {
		rank = strconv.FormatInt(key.priority, 10)
	}
	c := o.meter.Counter(fmt.Sprintf(`ebony_place_refused_total{rank="%s",reason="%s"}`, rank, reason))
	o.counters.Store(key, c)
	c.Inc()
}

// refusal holds the label values of the refusal counter.
type refusal struct {
	priority int64
	reason   core.RefusalReason
}

// counter returns the counter of a result.
func (o *Observer) counter(r result) incrementer {
	if cached, ok := o.counters.Load(r); ok {
		return cached.(incrementer)
	}
	c := o.meter.Counter(fmt.Sprintf(`ebony_requests_total{code="%d",ran="%s",relayed="%t"}`, r.code, r.ran, r.relayed))
	o.counters.Store(r, c)
	return c
}
