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
	simHosts          = 4
	simSlots          = 4
	simHopDelay       = 4 * time.Millisecond
	simReportInterval = 100 * time.Millisecond
	simServiceTime    = 50 * time.Millisecond
)

// simEvent is a function that the simulation runs at an instant; order breaks ties.
type simEvent struct {
	due   core.Instant
	order int
	run   func()
}

// simEvents implements heap.Interface, ordered by time.
type simEvents []simEvent

func (s simEvents) Len() int      { return len(s) }
func (s simEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)   { *s = append(*s, x.(simEvent)) }
func (s simEvents) Less(i, j int) bool {
	return s[i].due < s[j].due || s[i].due == s[j].due && s[i].order < s[j].order
}

func (s *simEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simHost is one entry process that owns the target with the index id.
type simHost struct {
	*fixture
	core.Links
	id      int
	limiter *Limiter
	pool    *pool
	router  *route.Router
	waiting map[*waiter]simRequest
}

// simRequest is one request with its entry host and the service time at the upstream.
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

// Stamp returns a constant, because owners do not change.
func (h *simHost) Stamp(string) core.OwnershipStamp { return core.OwnershipStamp{Epoch: 1} }

// simZone returns the zone of host i.
func simZone(i int) string { return fmt.Sprintf("z%d", 1+i/2) }

// sim is a discrete-event simulation of four hosts, each with a router and a limiter, on one manual clock.
type sim struct {
	deadline        time.Duration
	events          simEvents
	hosts           []*simHost
	idleSlotSeconds float64 // slot seconds that were idle while requests waited
	late            int     // requests that ended after their deadline
	noRetry         bool    // rejected requests are not retried at other hosts
	order           int
	rejected        int
	rng             *rand.Rand
	served          int
	timer           *fakeTimer
	totalWait       time.Duration
}

// newSim returns a simulation in which host i owns target i.
func newSim(tb testing.TB) *sim {
	s := &sim{deadline: 2 * time.Second, rng: rand.New(rand.NewPCG(1, 1))}
	s.timer = &fakeTimer{now: core.Instant(time.Hour), alarms: map[chan core.Instant]core.Instant{}}
	for i := range simHosts {
		f := &fixture{fakeTimer: s.timer, notOwned: map[string]bool{}}
		f.setSettings(simHosts, simSlots, func(c *core.Snapshot, p *core.EffectivePolicy) {
			c.Settings.Shifts, p.QueueMax = nil, 100
			for name, target := range c.Settings.Services["s"].Targets {
				target.Zone = simZone(int(name[1] - '0'))
				c.Settings.Services["s"].Targets[name] = target
			}
		})
		for j := range simHosts {
			f.notOwned[fmt.Sprintf("target/s/t%d", j)] = i != j
		}
		h := &simHost{fixture: f, id: i, waiting: map[*waiter]simRequest{}}
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

// after schedules run after d.
func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{due: s.timer.Now().Add(d), order: s.order, run: run})
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
		s.after(simHopDelay, func() { s.enter(s.hosts[hop.Peer.Host[0]-'0'], r) })
	}
}

// enter admits a request at the owner of a target; a rejected request is retried.
func (s *sim) enter(h *simHost, r simRequest) {
	request := r.route.AdmitRequest
	g, w, err := h.pool.admit(&request, s.timer.Now())
	switch {
	case err != nil:
		s.retry(h, r)
	case g != nil:
		s.serve(h, g, r)
	default:
		h.waiting[w] = r
		s.collectResults(h)
	}
}

// retry routes a rejected request again at its entry host, which excludes the hosts already tried.
func (s *sim) retry(h *simHost, r simRequest) {
	if s.noRetry {
		s.rejected++
		return
	}
	r.route.TriedHosts = append(r.route.TriedHosts, fmt.Sprint(h.id))
	if h.id == r.from {
		s.arrive(r)
		return
	}
	s.after(simHopDelay, func() { s.arrive(r) })
}

// collectResults serves the waiters that were granted a slot and retries those that were rejected.
func (s *sim) collectResults(h *simHost) {
	for _, w := range slices.SortedFunc(maps.Keys(h.waiting), func(a, b *waiter) int { return int(a.sequence - b.sequence) }) {
		r := h.waiting[w]
		select {
		case result := <-w.result:
			delete(h.waiting, w)
			if result.err != nil {
				s.retry(h, r)
				continue
			}
			s.serve(h, result.grant, r)
		default:
		}
	}
}

// serve occupies a slot for the service time and sends the new load to the entry host with the response.
func (s *sim) serve(h *simHost, g *grant, r simRequest) {
	s.served++
	s.totalWait += s.timer.Now().Sub(r.arrived)
	s.after(r.service, func() {
		if s.timer.Now().After(r.route.Deadline) {
			s.late++
		}
		if r.from != h.id {
			load := h.limiter.ServiceLoad("s")
			s.after(simHopDelay, func() {
				s.hosts[r.from].router.UpdateServiceLoad(core.Host{Host: fmt.Sprint(h.id), Region: "r1"}, "s", load)
			})
		}
		g.Release(core.Outcome{Latency: r.service})
		s.collectResults(h)
	})
}

// report sends the load of every host to the other hosts, at intervals of simReportInterval.
func (s *sim) report(sequence int64) {
	for _, h := range s.hosts {
		h.limiter.tick()
		s.collectResults(h)
		report := core.LoadReport{
			Host: fmt.Sprint(h.id), Region: "r1", Sequence: sequence, Services: h.limiter.Load(), Zone: simZone(h.id),
		}
		s.after(simHopDelay, func() {
			for _, to := range s.hosts {
				if to != h {
					to.router.Update(report)
				}
			}
		})
	}
	s.after(simReportInterval, func() { s.report(sequence + 1) })
}

// advanceTo advances the time to the given instant and adds up the idle slots while requests wait.
func (s *sim) advanceTo(instant core.Instant) {
	waiting, idle := 0, 0
	for _, h := range s.hosts {
		waiting += len(h.waiting)
		idle += simSlots
		for _, t := range h.pool.targets {
			idle -= t.inFlight
		}
	}
	s.idleSlotSeconds += instant.Sub(s.timer.Now()).Seconds() * float64(min(waiting, idle))
	s.timer.advance(instant.Sub(s.timer.Now()))
}

// run serves n requests at the given load. It returns the share of slot time that was idle while requests waited, the
// mean wait, and the mean wait in an ideal queue shared by all slots.
func (s *sim) run(n int, load float64) (idle float64, wait, pooled time.Duration) {
	start := s.timer.Now()
	arrival := start
	freeAt := make([]core.Instant, simHosts*simSlots)
	for range n {
		arrival = arrival.Add(time.Duration(s.rng.ExpFloat64() * float64(simServiceTime) / (load * simHosts * simSlots)))
		r := simRequest{arrived: arrival, from: s.rng.IntN(simHosts), service: time.Duration(s.rng.ExpFloat64() * float64(simServiceTime))}
		r.route.Service, r.route.Deadline = "s", arrival.Add(s.deadline)
		s.after(arrival.Sub(start), func() { s.arrive(r) })
		first := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[first] {
				first = i
			}
		}
		began := max(arrival, freeAt[first])
		pooled += began.Sub(arrival)
		freeAt[first] = began.Add(r.service)
	}
	s.report(1)
	for s.served+s.rejected < n {
		event := heap.Pop(&s.events).(simEvent)
		s.advanceTo(event.due)
		event.run()
	}
	total := s.timer.Now().Sub(start).Seconds() * simHosts * simSlots
	return s.idleSlotSeconds / total, s.totalWait / time.Duration(s.served), pooled / time.Duration(n)
}

// TestIdleSlotsWhileRequestsWait guards against slots that stay idle while requests wait at another owner; the limit is 5
// percent at full load.
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

// TestGoodputUnderOverload guards against requests that end after their deadline under overload. The goodput must reach
// 95 percent of the capacity at twice the load and 90 percent at ten times the load, with the 99th percentile of the
// admitted requests within the deadline.
func TestGoodputUnderOverload(t *testing.T) {
	tests := map[string]struct {
		load     float64
		deadline time.Duration
		goodput  float64
	}{
		"twice":                     {2, time.Second, 0.95},
		"ten times":                 {10, time.Second, 0.9},
		"twice, short deadline":     {2, 300 * time.Millisecond, 0.95},
		"ten times, short deadline": {10, 300 * time.Millisecond, 0.9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSim(t)
			s.deadline, s.noRetry = test.deadline, true
			s.run(20_000, test.load)
			late := float64(s.late) / float64(s.served)
			capacity := s.timer.Now().Sub(core.Instant(time.Hour)).Seconds() * simHosts * simSlots / simServiceTime.Seconds()
			goodput := float64(s.served-s.late) / capacity
			t.Logf("goodput %.3f of capacity, %.2f%% of admitted requests late, %d rejected", goodput, 100*late, s.rejected)
			assert.Check(t, late <= 0.01)
			assert.Check(t, goodput >= test.goodput)
		})
	}
}
