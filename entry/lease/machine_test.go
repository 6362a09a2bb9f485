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

// TestLeaseMachine guards against two processes that use one object at the same time, and against an object without a
// usable owner after the faults have ended. The faults come in any order: pauses, process deaths, restarts, drains,
// replaced processes that continue, partitions, store outages, and lost or delayed responses and documents.
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
	s := newSimulation(rt)
	for range 25 {
		n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")]
		span := time.Duration(rapid.IntRange(1, 40).Draw(rt, "ticks")) * tick
		switch rapid.IntRange(0, 12).Draw(rt, "fault") {
		case 0:
			n.pausedUntil = s.clock.now.Add(span)
		case 1:
			n.dead = true
		case 2:
			s.start(n)
		case 3:
			n.partitionedUntil = s.clock.now.Add(span)
		case 4:
			s.store.SetFaults(store.Faults{Outage: !s.store.Faults().Outage})
		case 5:
			s.store.putsToDelay = 1
		case 6:
			n.steerStaleUntil = s.clock.now.Add(span)
		case 7:
			s.store.SetFaults(store.Faults{LostResponses: 2})
		case 8:
			s.startSteer(n)
		case 9:
			s.replace(n, span)
		case 10:
			n.holder.startDrain()
		default:
			s.isolate(rt, n)
		}
		for range rapid.IntRange(0, 12).Draw(rt, "run") {
			s.step(rapid.IntRange(0, 1<<30).Draw(rt, "messages"))
		}
	}
	s.store.SetFaults(store.Faults{})
	s.store.putsToDelay = 0
	s.zombies = nil
	for _, n := range s.nodes {
		if n.dead || n.holder.draining {
			s.start(n)
		}
		n.steerUnreachableUntil, n.partitionedUntil, n.documentsBlockedUntil, n.steerStaleUntil, n.pausedUntil = 0, 0, 0, 0, 0
		clear(n.linkDownUntil)
	}
	s.runFor(40 * time.Second)
	s.assertUsable()
}

// isolate partitions a process from its steer and, for different times, from the other hosts. The process does not
// learn of its removal. Some grantors have not seen the removal either; they continue to receive its renewals, or
// receive them again after their link has recovered.
func (s *simulation) isolate(rt *rapid.T, n *node) {
	n.steerUnreachableUntil = s.clock.now.Add(10 * time.Second)
	for _, other := range s.nodes {
		span := time.Duration(rapid.IntRange(0, 40).Draw(rt, "link down")) * tick
		n.linkDownUntil[other.host.Host] = s.clock.now.Add(span)
		if rapid.Bool().Draw(rt, "documents blocked") {
			other.documentsBlockedUntil = s.clock.now.Add(10 * time.Second)
		}
	}
	for range 32 {
		s.step(rapid.IntRange(0, 1<<30).Draw(rt, "messages"))
	}
}
