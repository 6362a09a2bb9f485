package quota_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ebonyrouter.dev/core"
)

// playFault applies one random fault or ends one.
func (s *sim) playFault(t *rapid.T, random *rand.Rand) {
	h := s.hosts[between(random, 0, len(s.hosts)-1)]
	if between(random, 0, 1) == 0 {
		if leader := s.leader(); leader != nil {
			h = leader
		}
	}
	now := s.clock.Now()
	switch fault := between(random, 0, 12); fault {
	case 0:
		h.dead = true
	case 1:
		s.start(h, false)
	case 2:
		h.pausedUntil = now.Add(time.Duration(between(random, 100, 15000)) * time.Millisecond)
	case 3:
		h.linkCut = !h.linkCut
	case 4:
		h.view.cut = !h.view.cut
	case 5:
		s.store.down = !s.store.down
	case 6:
		s.store.loseNext = true
	case 7:
		s.store.delayNext = time.Duration(between(random, 100, 9000)) * time.Millisecond
	case 8:
		s.store.restore(between(random, 0, 6))
	case 9:
		s.store.slow = time.Duration(between(random, 0, 1)) * 240 * time.Millisecond
	case 10:
		// Another write happens while a coordinator's own is on its way.
		other := s.hosts[between(random, 0, len(s.hosts)-1)]
		if other != h {
			h.view.beforeWrite = func() { _ = other.coordinator.Renew(t.Context()) }
		}
	default:
		for _, h := range s.hosts {
			h.linkCut, h.view.cut = false, false
			if h.dead {
				s.start(h, false)
			}
		}
		s.store.down, s.store.slow = false, 0
	}
}

// TestBoundHoldsUnderFaults guards against any sequence of faults of hosts, links and the store in which the requests that all
// hosts take within a window exceed the bound. The hosts take as many as they can.
func TestBoundHoldsUnderFaults(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		customer := core.CustomerSettings{
			Name: "c", RequestsPerSecond: rapid.SampledFrom([]float64{1.6, 20, 96}).Draw(t, "rate"),
			Burst: rapid.SampledFrom([]float64{0, 10, 100}).Draw(t, "burst"),
		}
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "hosts"), customer)
		s.lossy = true
		// rapid prefers small values, which would make all spans short. It draws only the number of faults.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults seed"), 2))
		for range rapid.IntRange(1, 16).Draw(t, "faults") {
			busy := between(random, 0, 1<<len(s.hosts)-1)
			s.run(time.Duration(between(random, 25, 9000))*time.Millisecond, func() {
				s.checkHeld(t)
				for i, h := range s.hosts {
					h.waiting = 0
					if busy&(1<<i) != 0 && s.runs(h) {
						s.greedy(h)
					}
				}
			})
			s.playFault(t, random)
		}
		s.checkWindows(t, promised(&customer))
	})
}

// between returns a random number from lowest to highest.
func between(random *rand.Rand, lowest, highest int) int {
	return lowest + random.IntN(highest-lowest+1)
}

// useFixedSeed makes rapid repeat the same cases in each run.
func useFixedSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.checks": "600", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
}
