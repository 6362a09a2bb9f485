package agent

import (
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
)

const (
	// loadInterval is how often the load is checked, and the shortest interval between reports.
	loadInterval = 100 * time.Millisecond
	// loadKeepAlive is the time after which an unchanged report is sent again, at the next loadInterval. Receivers discard
	// reports after 6 s. With 1.9 s, reports to 16 neighbours took 1,643 of the 2,705 B/s that an idle host sent.
	loadKeepAlive = 5*time.Second - loadInterval/2
	// loadBytesPerSecond is the permitted rate of load reports, out of 2 kB/s for all control traffic of a host. Without
	// a limit, a busy host with 16 neighbours would send 15 kB/s. Responses to relayed requests carry the load as well.
	// At full load, a report every 2 s instead of every 100 ms therefore only raises the share of slots that are idle while
	// requests wait from 1.2% to 1.6% (simulation in entry/limit).
	loadBytesPerSecond = 600
	// loadBurstBytes is the size of the byte budget, so that the first changes after a quiet period are sent at once.
	// Small changes may only use half of it; the other half is reserved for changes that affect routing.
	loadBurstBytes = 6000
	// loadFrameBytes is the overhead of the frame of a report: header, two array elements and the topic.
	loadFrameBytes = wire.HeaderBytes + 3 + 1 + len(core.TopicLoad)
)

// loadSender decides when load reports are sent.
type loadSender struct {
	agent      *Agent
	budget     int // bytes that may be sent now; negative after a report that was sent regardless of the budget
	refilledAt core.Instant
	lastReport map[string]core.ServiceLoad
	sentAt     core.Instant
}

func newLoadSender(a *Agent) *loadSender {
	return &loadSender{agent: a, budget: loadBurstBytes, refilledAt: a.config.Timer.Now()}
}

// tick sends the load if it has changed and the budget permits it, or if the last report is older than loadKeepAlive.
func (s *loadSender) tick() {
	load := s.agent.config.Load()
	now := s.agent.config.Timer.Now()
	s.refill(now)
	if s.lastReport != nil && now.Sub(s.sentAt) < loadKeepAlive && !s.shouldReport(load) {
		return
	}
	s.budget -= s.agent.sendLoad(load)
	s.lastReport = load
	s.sentAt = now
}

// shouldReport reports whether load differs from the last report and the budget permits a report of this change.
func (s *loadSender) shouldReport(load map[string]core.ServiceLoad) bool {
	switch {
	case equalLoad(load, s.lastReport):
		return false
	case slotsChanged(load, s.lastReport):
		// Peers send no requests to a host that reports no slots of a service. Ownership changes are rare.
		return true
	case routingChanged(load, s.lastReport):
		return s.budget > 0
	default:
		return s.budget > loadBurstBytes/2
	}
}

// refill adds the permitted bytes for the time since the last refill to the budget.
func (s *loadSender) refill(now core.Instant) {
	s.budget = min(loadBurstBytes, s.budget+int(now.Sub(s.refilledAt).Milliseconds()*loadBytesPerSecond/1000))
	s.refilledAt = now
}

// routingChanged reports whether a service has gained its first free slot or lost its last one, or whether its wait has
// more than doubled or halved. Both maps must have the same services.
func routingChanged(a, b map[string]core.ServiceLoad) bool {
	for service, load := range a {
		old := b[service]
		if (load.FreeSlots > 0) != (old.FreeSlots > 0) || load.WaitMs > 2*old.WaitMs || 2*load.WaitMs < old.WaitMs {
			return true
		}
	}
	return false
}

// equalLoad reports whether two loads are equal.
func equalLoad(a, b map[string]core.ServiceLoad) bool {
	if len(a) != len(b) {
		return false
	}
	for service, load := range a {
		if b[service] != load {
			return false
		}
	}
	return true
}

// slotsChanged reports whether the services or the number of slots of a service differ.
func slotsChanged(a, b map[string]core.ServiceLoad) bool {
	if len(a) != len(b) {
		return true
	}
	for service, load := range a {
		if old, known := b[service]; !known || load.Slots != old.Slots {
			return true
		}
	}
	return false
}
