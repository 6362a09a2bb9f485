package lease

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonyrouter.dev/core/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against two processes that use one object at once, and against an object without a usable owner after the
// faults have ended, for any order of pauses, deaths, restarts, drains, replaced processes that go on, cuts, outages, lost or late answers and documents.
func TestLeaseMachine(t *testing.T) {
	for seed := 1; seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			assert.NilError(t, flag.Set("rapid.seed", fmt.Sprint(seed)))
			assert.NilError(t, flag.Set("rapid.checks", "40"))
			rapid.Check(t, checkFaults)
		})
	}
}

func checkFaults(rt *rapid.T) {
	w := newWorld(rt)
	for range 25 {
		n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "node")]
		span := time.Duration(rapid.IntRange(1, 40).Draw(rt, "ticks")) * tick
		switch rapid.IntRange(0, 12).Draw(rt, "fault") {
		case 0:
			n.paused = w.clock.now.Add(span)
		case 1:
			n.dead = true
		case 2:
			w.start(n)
		case 3:
			n.cut = w.clock.now.Add(span)
		case 4:
			w.store.SetFaults(store.Faults{Outage: !w.store.Faults().Outage})
		case 5:
			w.store.late = 1
		case 6:
			n.lagging = w.clock.now.Add(span)
		case 7:
			w.store.SetFaults(store.Faults{LostAnswers: 2})
		case 8:
			w.startSteer(n)
		case 9:
			w.replace(n, span)
		case 10:
			n.holder.startDrain()
		default:
			w.isolate(rt, n)
		}
		for range rapid.IntRange(0, 12).Draw(rt, "run") {
			w.step(rapid.IntRange(0, 1<<30).Draw(rt, "messages"))
		}
	}
	w.store.SetFaults(store.Faults{})
	w.store.late = 0
	w.zombies = nil
	for _, n := range w.nodes {
		if n.dead || n.holder.draining {
			w.start(n)
		}
		n.away, n.cut, n.frozen, n.lagging, n.paused = 0, 0, 0, 0, 0
		clear(n.severed)
	}
	w.run(40 * time.Second)
	w.assertUsable()
}

// isolate keeps a process from its steer and, for times of their own, from the other hosts: it does not learn of its
// removal while some grantors, who do not know of it either, still hear it or hear it again.
func (w *world) isolate(rt *rapid.T, n *node) {
	n.away = w.clock.now.Add(10 * time.Second)
	for _, other := range w.nodes {
		span := time.Duration(rapid.IntRange(0, 40).Draw(rt, "severed")) * tick
		n.severed[other.host.Host] = w.clock.now.Add(span)
		if rapid.Bool().Draw(rt, "frozen") {
			other.frozen = w.clock.now.Add(10 * time.Second)
		}
	}
	for range 32 {
		w.step(rapid.IntRange(0, 1<<30).Draw(rt, "messages"))
	}
}
