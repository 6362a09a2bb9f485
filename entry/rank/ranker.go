package rank

import (
	"math"
	"time"

	"ebonyrouter.dev/core"
)

// Ranker keeps for each service how much is offered and admitted by rank and customer. It is not safe for concurrent use.
type Ranker struct {
	// applied is the snapshot that decided which services are ranked, and ranked names them; all are if a customer exists.
	applied *core.Snapshot
	all     bool
	ranked  map[string]bool

	customers int
	services  map[string]*service
}

// New returns a Ranker that ranks nothing until settings are applied.
func New() *Ranker {
	return &Ranker{services: map[string]*service{}}
}

// Apply adopts the settings in force. Requests are ranked if keys are required or RankedAdmission is set, and there are customers or
// the service has routes of several priorities.
func (r *Ranker) Apply(snapshot *core.Snapshot) {
	if snapshot == r.applied {
		return
	}
	r.applied, r.all, r.ranked = snapshot, false, nil
	if snapshot == nil || !snapshot.Settings.RequireKeys && !snapshot.Settings.RankedAdmission {
		r.services, r.customers = map[string]*service{}, 0
		return
	}
	r.all = len(snapshot.Settings.Customers) > 0
	r.ranked = snapshot.Settings.RankedServices()
	for name := range r.services {
		if _, found := snapshot.Settings.Services[name]; !found {
			r.customers -= len(r.services[name].active)
			delete(r.services, name)
		}
	}
}

// Offer counts a request and returns how it stands among the others of its service. The caller reports with Admitted or Refused what
// became of it. An attempt after a failed one is neither counted nor ranked.
func (r *Ranker) Offer(request *core.AdmitRequest, now core.Instant) Standing {
	if !r.all && !r.ranked[request.Service] || len(request.Avoid) > 0 {
		return Standing{Entitled: true}
	}
	s := r.services[request.Service]
	if s == nil {
		s = newService(now)
		r.services[request.Service] = s
	}
	notice := s.advance(now, r)
	k := s.rank(request.Priority)
	c, full := r.customer(s, k, request.Tenant, now)
	if full && notice == NoticeNone && !s.fullReported {
		s.fullReported, notice = true, NoticeCustomersFull
	}
	c.count++
	c.lastSeen = now
	standing := Standing{
		Entitled: true, Excessive: c.offered > c.fair(), Ranked: true, Returned: s.returned(request, now), Scarce: s.scarce, Share: c.share,
		Notice: notice, customer: c, service: s,
	}
	if s.scarce {
		standing.Entitled = c.spend(standing.Returned)
		standing.RoomIn = c.roomIn()
		standing.Urgent = standing.Entitled && k.urgent
	}
	return standing
}

// customer returns the entry of a customer, or the entry that customers share if there is no room for another one.
func (r *Ranker) customer(s *service, k *kind, name string, now core.Instant) (entry *customer, full bool) {
	if c := k.customers[name]; c != nil {
		return c, false
	}
	if r.customers >= maxCustomers {
		name, full = sharedEntry, true
		if c := k.customers[name]; c != nil {
			return c, true
		}
	}
	c := &customer{name: name, kind: k, firstSeen: now, share: k.share, credit: 1}
	k.customers[name] = c
	s.active = append(s.active, c)
	r.customers++
	return c, full
}

const (
	// maxCustomers bounds the entries of all services; others share one entry for each rank.
	maxCustomers = 4096
	// sharedEntry is longer than the names of customers may be in headers.
	sharedEntry = "\x00shared"
	// maxKinds is the number of priorities of a service that are told apart. Lower ones count as the lowest of them.
	maxKinds = 8
	// window is the time between two computations of the shares.
	window = 200 * time.Millisecond
	// rateTime is the time constant of the rates by which shares are computed, in which a customer's excess is noticed. With less, a
	// single request of a small customer is a high rate.
	rateTime = 1500 * time.Millisecond
	// usualTime is the time constant of a customer's usual rate. It is far longer than the excesses of 5 to 7 s that it is to show.
	usualTime = 60 * time.Second
	// learnTime is the time in which the usual rate of a new customer is its mean rate.
	learnTime = 10 * time.Second
	// usualGrowth bounds the rate that counts for the usual rate, as a multiple of it.
	usualGrowth = 2
	// forgetTime is the time after which a customer without requests is forgotten.
	forgetTime = 2 * time.Minute
	// smallRate is the rate in requests per second to which a customer is entitled whatever it usually sends, so that a single request
	// of a small customer is no excess.
	smallRate = 0.7
	// leastShare is the part of the mean share that every rank and every customer gets.
	leastShare = 0.4
)

// weight returns the weight of a sample over a period in a moving average with a time constant.
func weight(period, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(period)/float64(constant))
}
