package limit

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/route"
)

const (
	simHosts   = 4
	simSlots   = 4
	simHop     = 4 * time.Millisecond
	simReport  = 100 * time.Millisecond
	simService = 50 * time.Millisecond
)

// simEvent is one step of the simulation at an instant.
type simEvent struct {
	at    core.Instant
	order int
	run   func()
}

// simEvents implements heap.Interface.
type simEvents []simEvent

func (s simEvents) Len() int      { return len(s) }
func (s simEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)   { *s = append(*s, x.(simEvent)) }
func (s simEvents) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}

func (s *simEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simHost is one entry process that owns target i.
type simHost struct {
	*fakeWorld
	core.Links
	id      int
	limiter *Limiter
	pool    *pool
	router  *route.Router
	waiting map[*waiter]simRequest
}

// simRequest is one request and the time that its upstream needs.
type simRequest struct {
	arrived core.Instant
	from    int
	route   core.RouteRequest
	service time.Duration
}

func (h *simHost) Alive(string) bool { return true }

func (h *simHost) Owner(_, object string) (core.Host, bool) {
	i := int(object[len(object)-1] - '0')
	return core.Host{Host: fmt.Sprint(i), Zone: simZone(i)}, true
}

// Stamp is always the same, because owners do not change.
func (h *simHost) Stamp(string) core.OwnershipStamp { return core.OwnershipStamp{Epoch: 1} }

func simZone(i int) string { return fmt.Sprintf("z%d", 1+i/2) }

// sim runs arrivals through routers and limiters of four owners with one manual timer.
type sim struct {
	deadline time.Duration
	events   simEvents
	hosts    []*simHost
	idle     float64 // slot seconds idle while requests waited
	late     int
	local    bool // rejected requests are not routed again
	order    int
	rejected int
	rng      *rand.Rand
	served   int
	timer    *fakeTimer
	wait     time.Duration
}

func newSim(tb testing.TB) *sim {
	s := &sim{deadline: 2 * time.Second, rng: rand.New(rand.NewPCG(1, 1))}
	s.timer = &fakeTimer{now: core.Instant(time.Hour), alarms: map[chan core.Instant]core.Instant{}}
	for i := range simHosts {
		f := &fakeWorld{fakeTimer: s.timer, lost: map[string]bool{}}
		f.change(simHosts, simSlots, func(c *core.Snapshot, p *core.EffectivePolicy) {
			c.Settings.Shifts, p.QueueMax = nil, 100
			for name, target := range c.Settings.Services["s"].Targets {
				target.Zone = simZone(int(name[1] - '0'))
				c.Settings.Services["s"].Targets[name] = target
			}
		})
		for j := range simHosts {
			f.lost[fmt.Sprintf("target/s/t%d", j)] = i != j
		}
		h := &simHost{fakeWorld: f, id: i, waiting: map[*waiter]simRequest{}}
		h.limiter = New(Config{Lease: f, Region: "r1", Settings: f, Timer: f, Zone: simZone(i)})
		tb.Cleanup(h.limiter.Close)
		h.pool, _ = h.limiter.pool("s")
		h.router = route.New(route.Config{
			Host: fmt.Sprint(i), Links: h, Load: h.limiter, Ownership: h, Region: "r1", Settings: f, Timer: f,
			Zone: simZone(i),
		})
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: s.timer.Now().Add(d), order: s.order, run: run})
}

// arrive routes a request at its entry host.
func (s *sim) arrive(r simRequest) {
	hop, err := s.hosts[r.from].router.Route(r.route)
	switch {
	case err != nil:
		s.rejected++
	case hop.Kind == core.HopLocal:
		s.enter(s.hosts[r.from], r)
	default:
		s.after(simHop, func() { s.enter(s.hosts[hop.Peer.Host[0]-'0'], r) })
	}
}

// enter admits a request at an owner; a rejected one is routed again.
func (s *sim) enter(h *simHost, r simRequest) {
	request := r.route.AdmitRequest
	g, w, err := h.pool.enter(&request, s.timer.Now())
	switch {
	case err != nil:
		s.again(h, r)
	case g != nil:
		s.serve(h, g, r)
	default:
		h.waiting[w] = r
		s.collect(h)
	}
}

// again routes a rejected request once more at its entry host.
func (s *sim) again(h *simHost, r simRequest) {
	if s.local {
		s.rejected++
		return
	}
	r.route.TriedHosts = append(r.route.TriedHosts, fmt.Sprint(h.id))
	if h.id == r.from {
		s.arrive(r)
		return
	}
	s.after(simHop, func() { s.arrive(r) })
}

// collect serves the waiters that were granted a slot.
func (s *sim) collect(h *simHost) {
	for _, w := range slices.SortedFunc(maps.Keys(h.waiting), func(a, b *waiter) int { return int(a.sequence - b.sequence) }) {
		r := h.waiting[w]
		select {
		case a := <-w.ready:
			delete(h.waiting, w)
			if a.err != nil {
				s.again(h, r)
				continue
			}
			s.serve(h, a.grant, r)
		default:
		}
	}
}

func (s *sim) serve(h *simHost, g *grant, r simRequest) {
	s.served++
	s.wait += s.timer.Now().Sub(r.arrived)
	s.after(r.service, func() {
		if s.timer.Now().After(r.route.Deadline) {
			s.late++
		}
		if r.from != h.id {
			load := h.limiter.ServiceLoad("s")
			s.after(simHop, func() {
				s.hosts[r.from].router.UpdateService(core.Host{Host: fmt.Sprint(h.id), Region: "r1"}, "s", load)
			})
		}
		g.Release(core.Outcome{Latency: r.service})
		s.collect(h)
	})
}

// report sends the load of every host to the others.
func (s *sim) report(sequence int64) {
	for _, h := range s.hosts {
		h.limiter.tick()
		s.collect(h)
		report := core.LoadReport{
			Host: fmt.Sprint(h.id), Region: "r1", Sequence: sequence, Services: h.limiter.Load(), Zone: simZone(h.id),
		}
		s.after(simHop, func() {
			for _, to := range s.hosts {
				if to != h {
					to.router.Update(report)
				}
			}
		})
	}
	s.after(simReport, func() { s.report(sequence + 1) })
}

// step advances the time to at and integrates idle slots while requests wait.
func (s *sim) step(at core.Instant) {
	waiting, idle := 0, 0
	for _, h := range s.hosts {
		waiting += len(h.waiting)
		idle += simSlots
		for _, t := range h.pool.targets {
			idle -= t.inFlight
		}
	}
	s.idle += at.Sub(s.timer.Now()).Seconds() * float64(min(waiting, idle))
	s.timer.step(at.Sub(s.timer.Now()))
}

// run serves n requests at the given load and returns the idle share, the mean wait and that of a pooled queue.
func (s *sim) run(n int, load float64) (idle float64, wait, pooled time.Duration) {
	start := s.timer.Now()
	at := start
	free := make([]core.Instant, simHosts*simSlots)
	for range n {
		at = at.Add(time.Duration(s.rng.ExpFloat64() * float64(simService) / (load * simHosts * simSlots)))
		r := simRequest{arrived: at, from: s.rng.IntN(simHosts), service: time.Duration(s.rng.ExpFloat64() * float64(simService))}
		r.route.Service, r.route.Deadline = "s", at.Add(s.deadline)
		s.after(at.Sub(start), func() { s.arrive(r) })
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		begin := max(at, free[first])
		pooled += begin.Sub(at)
		free[first] = begin.Add(r.service)
	}
	s.report(1)
	for s.served+s.rejected < n {
		e := heap.Pop(&s.events).(simEvent)
		s.step(e.at)
		e.run()
	}
	total := s.timer.Now().Sub(start).Seconds() * simHosts * simSlots
	return s.idle / total, s.wait / time.Duration(s.served), pooled / time.Duration(n)
}

// Guards against slots that stay idle while requests wait at another owner; the target is 5 percent at full load.
func TestIdleSlotsWhileRequestsWait(t *testing.T) {
	for _, load := range []float64{0.7, 0.8, 0.9, 0.95, 1.0} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			s := newSim(t)
			idle, wait, pooled := s.run(20_000, load)
			t.Logf("load %.2f: idle while waiting %.2f%%, mean wait %v, pooled ideal %v, rejected %d",
				load, 100*idle, wait.Round(10*time.Microsecond), pooled.Round(10*time.Microsecond), s.rejected)
			assert.Assert(t, load < 1 || idle <= 0.05, "%.1f%% of the slots idle", 100*idle)
		})
	}
}

// Guards against work that ends after its deadline under overload; goodput must reach 95 percent of capacity at
// twice the load and 90 percent at ten times, with the 99th percentile of admitted requests within the deadline.
func TestGoodputUnderOverload(t *testing.T) {
	tests := map[string]struct {
		load     float64
		deadline time.Duration
		goodput  float64
	}{
		"twice":            {2, time.Second, 0.95},
		"ten times":        {10, time.Second, 0.9},
		"short deadline":   {2, 300 * time.Millisecond, 0.95},
		"short, ten times": {10, 300 * time.Millisecond, 0.9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSim(t)
			s.deadline, s.local = test.deadline, true
			s.run(20_000, test.load)
			late := float64(s.late) / float64(s.served)
			capacity := s.timer.Now().Sub(core.Instant(time.Hour)).Seconds() * simHosts * simSlots / simService.Seconds()
			goodput := float64(s.served-s.late) / capacity
			t.Logf("goodput %.3f of capacity, %.2f%% of admitted requests late, %d rejected", goodput, 100*late, s.rejected)
			assert.Check(t, late <= 0.01)
			assert.Check(t, goodput >= test.goodput)
		})
	}
}
