package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
)

// loaded returns the sender of an agent with 16 neighbours whose load is read from the map.
func loaded(t *testing.T, load *core.ServiceLoad) (*loadSender, *sink, *timer.Manual) {
	links, clock := &sink{}, timer.NewManual()
	a := designed(t, links)
	a.config.Timer = clock
	a.config.Load = func() map[string]core.ServiceLoad {
		return map[string]core.ServiceLoad{"bookings": *load, "records": *load, "statusboard": *load}
	}
	for i := range maxNeighbours {
		a.peers = append(a.peers, fmt.Sprint(i))
	}
	return newLoadSender(a), links, clock
}

// run lets the sender tick for d and returns the bytes that it sent with their frames, and the number of reports.
func run(s *loadSender, links *sink, clock *timer.Manual, d time.Duration, change func(i int)) (sent, reports int) {
	before, sequence := links.bytes, s.agent.sequence
	for i := range int(d / loadInterval) {
		change(i)
		s.tick()
		clock.Advance(loadInterval)
	}
	reports = int(s.agent.sequence - sequence)
	return links.bytes - before + reports*maxNeighbours*loadFrameBytes, reports
}

// Guards against load reports of a busy host that take more than their part of the 2 kB/s of a node, and against a
// bound that keeps the reports of an idle or busy host from arriving before the old ones expire.
func TestLoadReportsStayWithinBudget(t *testing.T) {
	for name, change := range map[string]func(load *core.ServiceLoad, i int){
		"idle":                func(*core.ServiceLoad, int) {},
		"free slots vary":     func(load *core.ServiceLoad, i int) { load.FreeSlots = 1 + i%30 },
		"free slots run out":  func(load *core.ServiceLoad, i int) { load.FreeSlots = i % 2 },
		"the queue and waits": func(load *core.ServiceLoad, i int) { load.Queued, load.WaitMs = 1+i%300, int64(1+i%5*100) },
	} {
		t.Run(name, func(t *testing.T) {
			load := core.ServiceLoad{FreeSlots: 36, Slots: 36}
			s, links, clock := loaded(t, &load)
			run(s, links, clock, 20*time.Second, func(i int) { change(&load, i) })
			sent, reports := run(s, links, clock, time.Minute, func(i int) { change(&load, i) })
			assert.Assert(t, sent <= 60*loadBytesPerSecond+loadBurstBytes/2, "%d bytes in a minute", sent)
			assert.Assert(t, reports >= 12, "%d reports in a minute", reports)
			t.Logf("%d bytes in %d reports a minute", sent, reports)
		})
	}
}

// Guards against a report that waits although peers need it: the first after a quiet time, and one of slots that are
// owned or not owned any more, whatever was sent before.
func TestDecisiveLoadIsReportedAtOnce(t *testing.T) {
	load := core.ServiceLoad{FreeSlots: 36, Slots: 36}
	s, links, clock := loaded(t, &load)
	run(s, links, clock, 30*time.Second, func(int) {})
	once := func(want int) {
		t.Helper()
		_, reports := run(s, links, clock, loadInterval, func(int) {})
		assert.Equal(t, reports, want)
	}
	load.FreeSlots = 0
	once(1)
	once(0)
	run(s, links, clock, 10*time.Second, func(i int) { load.FreeSlots = i % 2 })
	s.budget = min(s.budget, 0)
	load.FreeSlots = 1 - load.FreeSlots
	once(0)
	load.Slots = 0
	once(1)
}
