package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
)

// newTestSender returns the sender of an agent with 16 neighbours; load is the load of each of its services.
func newTestSender(t *testing.T, load *core.ServiceLoad) (*loadSender, *fakeLinks, *timer.Manual) {
	links, clock := &fakeLinks{}, timer.NewManual()
	a := newTestAgent(t, links)
	a.config.Timer = clock
	a.config.Load = func() map[string]core.ServiceLoad {
		return map[string]core.ServiceLoad{"bookings": *load, "records": *load, "statusboard": *load}
	}
	for i := range maxNeighbours {
		a.loadReceivers = append(a.loadReceivers, fmt.Sprint(i))
	}
	return newLoadSender(a), links, clock
}

// runSender ticks the sender for d and returns the number of bytes sent, including frames, and the number of reports.
func runSender(s *loadSender, links *fakeLinks, clock *timer.Manual, d time.Duration, change func(i int)) (sent, reports int) {
	before, sequence := links.bytes, s.agent.sequence
	for i := range int(d / loadInterval) {
		change(i)
		s.tick()
		clock.Advance(loadInterval)
	}
	reports = int(s.agent.sequence - sequence)
	return links.bytes - before + reports*maxNeighbours*loadFrameBytes, reports
}

// Guards against load reports of a busy host that exceed their share of the 2 kB/s of a host, and against a limit that
// delays the reports of an idle or busy host until the previous ones have expired.
func TestLoadReportsStayWithinBudget(t *testing.T) {
	for name, change := range map[string]func(load *core.ServiceLoad, i int){
		"idle":                 func(*core.ServiceLoad, int) {},
		"free slots vary":      func(load *core.ServiceLoad, i int) { load.FreeSlots = 1 + i%30 },
		"free slots run out":   func(load *core.ServiceLoad, i int) { load.FreeSlots = i % 2 },
		"queue and waits vary": func(load *core.ServiceLoad, i int) { load.Queued, load.WaitMs = 1+i%300, int64(1+i%5*100) },
	} {
		t.Run(name, func(t *testing.T) {
			load := core.ServiceLoad{FreeSlots: 36, Slots: 36}
			s, links, clock := newTestSender(t, &load)
			runSender(s, links, clock, 20*time.Second, func(i int) { change(&load, i) })
			sent, reports := runSender(s, links, clock, time.Minute, func(i int) { change(&load, i) })
			assert.Assert(t, sent <= 60*loadBytesPerSecond+loadBurstBytes/2, "%d bytes in a minute", sent)
			assert.Assert(t, reports >= 12, "%d reports in a minute", reports)
			t.Logf("%d bytes in %d reports a minute", sent, reports)
		})
	}
}

// Guards against a delay of reports that peers need at once: the first change after a quiet period, and a change of the
// owned slots even if the budget is spent.
func TestRoutingChangeIsReportedAtOnce(t *testing.T) {
	load := core.ServiceLoad{FreeSlots: 36, Slots: 36}
	s, links, clock := newTestSender(t, &load)
	runSender(s, links, clock, 30*time.Second, func(int) {})
	assertReports := func(want int) {
		t.Helper()
		_, reports := runSender(s, links, clock, loadInterval, func(int) {})
		assert.Equal(t, reports, want)
	}
	load.FreeSlots = 0
	assertReports(1)
	assertReports(0)
	runSender(s, links, clock, 10*time.Second, func(i int) { load.FreeSlots = i % 2 })
	s.budget = min(s.budget, 0)
	load.FreeSlots = 1 - load.FreeSlots
	assertReports(0)
	load.Slots = 0
	assertReports(1)
}
