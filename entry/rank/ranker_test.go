package rank

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// play offers the requests of a service with a given room and counts who is served.
type play struct {
	now    core.Instant
	random *rand.Rand
	ranker *Ranker
	// room is the number of requests a second that targets take; credit is what is left of it.
	room   float64
	credit float64
}

// sender is a customer that sends requests of a priority.
type sender struct {
	name      string
	perSecond float64
	priority  int64
	offered   int
	served    int
}

func (s *sender) share() float64 { return float64(s.served) / float64(s.offered) }

func newPlay(room float64) *play {
	p := &play{now: core.Instant(time.Hour), random: rand.New(rand.NewPCG(1, 0)), ranker: New(), room: room} //nolint:gosec // Repeatable.
	p.ranker.Apply(&core.Snapshot{Settings: core.Settings{
		RequireKeys: true, Customers: []core.CustomerSettings{{Name: "a"}}, Services: map[string]core.ServiceSettings{"s": {}},
	}})
	return p
}

func (p *play) request(name string, priority int64, remaining time.Duration) core.AdmitRequest {
	return core.AdmitRequest{Deadline: p.now.Add(remaining), Priority: priority, Route: "r", Service: "s", Tenant: name}
}

// run offers requests at random times, evenly distributed, for a while and counts anew.
func (p *play) run(duration time.Duration, senders ...*sender) {
	const step = 5 * time.Millisecond
	for _, s := range senders {
		s.offered, s.served = 0, 0
	}
	for range int(duration / step) {
		p.now = p.now.Add(step)
		p.credit = min(idleRoom, p.credit+p.room*step.Seconds())
		for _, i := range p.random.Perm(len(senders)) {
			if s := senders[i]; p.random.Float64() < s.perSecond*step.Seconds() {
				p.offer(s)
			}
		}
	}
}

// offer offers a request. Targets take one that is entitled if they have room, and another one only if they are idle.
func (p *play) offer(s *sender) {
	request := p.request(s.name, s.priority, time.Second)
	standing := p.ranker.Offer(&request, p.now)
	s.offered++
	if p.credit < 1 || !standing.Entitled && p.credit < idleRoom {
		standing.Refused()
		return
	}
	p.credit--
	s.served++
	standing.Admitted()
}

// idleRoom is the number of requests that idle targets take at once.
const idleRoom = 10

// TestShares guards against urgent requests or customers at their usual rate that are refused because of others, against ranks and
// customers that are starved, and against refusals without need.
func TestShares(t *testing.T) {
	type want struct{ least, most float64 }
	for name, c := range map[string]struct {
		room    float64
		senders []*sender
		// surge is the factor by which the first sender then sends more, for 5 s.
		surge float64
		want  []want
	}{
		"room for all":         {130, []*sender{{name: "a", perSecond: 40}, {name: "b", perSecond: 60, priority: 2}}, 1, []want{{1, 1}, {1, 1}}},
		"urgent ones first":    {60, []*sender{{name: "a", perSecond: 40}, {name: "a", perSecond: 60, priority: 2}}, 1, []want{{0.85, 1}, {0.24, 0.45}}},
		"urgent ones too many": {30, []*sender{{name: "a", perSecond: 60}, {name: "a", perSecond: 40, priority: 2}}, 1, []want{{0.35, 0.46}, {0.08, 0.2}}},
		"surge of a customer": {
			60, []*sender{{name: "a", perSecond: 10}, {name: "b", perSecond: 10}, {name: "c", perSecond: 30}}, 7.5, []want{{0.15, 0.55}, {0.75, 1}, {0.75, 1}},
		},
		"small customers": {
			30, []*sender{{name: "a", perSecond: 10}, {name: "b", perSecond: 0.3}, {name: "c", perSecond: 15}}, 7.5, []want{{0.1, 0.4}, {0.5, 1}, {0.55, 1}},
		},
		"surge of urgent ones": {
			60, []*sender{{name: "a", perSecond: 10}, {name: "b", perSecond: 10}, {name: "b", perSecond: 30, priority: 1}}, 6, []want{{0.5, 0.9}, {0.75, 1}, {0.15, 0.6}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(c.room)
			p.run(20*time.Second, c.senders...)
			c.senders[0].perSecond *= c.surge
			if c.surge > 1 {
				p.run(5*time.Second, c.senders...)
			} else {
				p.run(20*time.Second, c.senders...)
			}
			for i, s := range c.senders {
				t.Logf("%s %d: %.3f", s.name, s.priority, s.share())
				assert.Check(t, s.share() >= c.want[i].least && s.share() <= c.want[i].most)
			}
		})
	}
}

// TestEndOfScarcity guards against requests that are refused by rank after the load has gone.
func TestEndOfScarcity(t *testing.T) {
	p := newPlay(50)
	a, b := &sender{name: "a", perSecond: 50}, &sender{name: "b", perSecond: 50, priority: 1}
	p.run(20*time.Second, a, b)
	assert.Check(t, b.share() < 0.5)
	a.perSecond, b.perSecond = 20, 20
	p.run(6*time.Second, a, b)
	p.run(6*time.Second, a, b)
	assert.Check(t, a.share() == 1 && b.share() == 1, "%.3f, %.3f", a.share(), b.share())
}

// TestReturned guards against callers that come back after a refusal and are refused again before new ones of their rank.
func TestReturned(t *testing.T) {
	p := newPlay(50)
	p.run(10*time.Second, &sender{name: "a", perSecond: 100})
	k := p.ranker.services["s"].kinds[0]
	k.customers["a"].share, k.customers["a"].credit = 0.5, 0
	for _, c := range []struct {
		remaining          time.Duration
		entitled, returned bool
	}{{time.Second, false, false}, {900 * time.Millisecond, true, true}, {900 * time.Millisecond, true, true}, {time.Second, false, false}} {
		request := p.request("a", 0, c.remaining)
		standing := p.ranker.Offer(&request, p.now)
		assert.Equal(t, standing.Returned, c.returned)
		assert.Equal(t, standing.Entitled, c.entitled)
	}
	refused := 0
	for range 20 {
		request := p.request("a", 0, 900*time.Millisecond)
		if standing := p.ranker.Offer(&request, p.now); !standing.Entitled {
			refused++
		}
	}
	assert.Check(t, refused >= 8, "callers that come back are entitled beyond the share of their customer")
}

// TestApply guards against ranking in deployments that do not ask for it.
func TestApply(t *testing.T) {
	routes := []core.RouteSettings{
		{Backends: []core.BackendSettings{{Service: "s"}}, Name: "r"},
		{Backends: []core.BackendSettings{{Service: "s"}}, Name: "q", Priority: 1},
	}
	customers := []core.CustomerSettings{{Name: "a"}}
	for name, c := range map[string]struct {
		settings core.Settings
		want     bool
	}{
		"nothing":                    {core.Settings{}, false},
		"priorities without keys":    {core.Settings{Routes: routes}, false},
		"customers without keys":     {core.Settings{Customers: customers}, false},
		"one priority with keys":     {core.Settings{Routes: routes[:1], RequireKeys: true}, false},
		"keys and priorities":        {core.Settings{Routes: routes, RequireKeys: true}, true},
		"keys and customers":         {core.Settings{Customers: customers, RequireKeys: true}, true},
		"ranked admission by itself": {core.Settings{Routes: routes, RankedAdmission: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Apply(&core.Snapshot{Settings: c.settings})
			standing := r.Offer(&core.AdmitRequest{Deadline: 2, Service: "s", Tenant: "a"}, 1)
			assert.Equal(t, standing.Ranked, c.want)
			assert.Assert(t, standing.Entitled)
		})
	}
}

// TestManyCustomers guards against state that grows with the number of customers and priorities, or that is not forgotten.
func TestManyCustomers(t *testing.T) {
	p := newPlay(1)
	notices := 0
	for i := range 10_000 {
		request := p.request(fmt.Sprint(i), int64(i%50), time.Second)
		if standing := p.ranker.Offer(&request, p.now); standing.Notice == NoticeCustomersFull {
			notices++
		}
	}
	s := p.ranker.services["s"]
	assert.Check(t, len(s.active) <= maxCustomers+maxKinds, "%d", len(s.active))
	assert.Equal(t, len(s.kinds), maxKinds)
	assert.Equal(t, notices, 1)
	p.now = p.now.Add(forgetTime + time.Second)
	request := p.request("a", 0, time.Second)
	p.ranker.Offer(&request, p.now)
	assert.Check(t, len(s.active) <= 1+maxKinds && p.ranker.customers <= 1+maxKinds, "%d", len(s.active))
}

// TestAllocations guards against allocations in a decision about a known customer.
func TestAllocations(t *testing.T) {
	p := newPlay(50)
	p.run(10*time.Second, &sender{name: "a", perSecond: 100}, &sender{name: "b", perSecond: 20, priority: 1})
	request := p.request("a", 0, time.Hour)
	allocations := testing.AllocsPerRun(1000, func() {
		p.now = p.now.Add(time.Millisecond)
		standing := p.ranker.Offer(&request, p.now)
		standing.Admitted()
	})
	assert.Equal(t, allocations, 0.0)
}

// BenchmarkOffer measures a decision at 1,000 requests a second, including its part of the computation of the shares.
func BenchmarkOffer(b *testing.B) {
	for _, customers := range []int{1, 100, 4000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			p := newPlay(50)
			var names []string
			for i := range customers {
				names = append(names, fmt.Sprint(i))
			}
			request := p.request("", 0, time.Hour)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				p.now = p.now.Add(time.Millisecond)
				request.Tenant, request.Priority = names[i%customers], int64(i%3)
				standing := p.ranker.Offer(&request, p.now)
				if i%2 == 0 {
					standing.Admitted()
				} else {
					standing.Refused()
				}
			}
		})
	}
}
