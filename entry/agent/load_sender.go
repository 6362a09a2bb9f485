package agent

import (
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
)

const (
	loadInterval = 100 * time.Millisecond
	// loadKeepAlive is the time after which an unchanged report is sent again, rounded up to the next interval; receivers
	// discard reports after 6 s. With 1.9 s, reports to 16 neighbours were 1,643 of 2,705 B/s of an idle host.
	loadKeepAlive = 5*time.Second - loadInterval/2
	// loadBytesPerSecond is what load reports may take of the 2 kB/s of a node: without a bound a busy host with 16
	// neighbours would send 15 kB/s. Responses to relayed requests carry the load as well, so that a report every 2 s
	// instead of every 100 ms leaves 1.6% instead of 1.2% of the slots idle while requests wait at full load (simulation
	// of entry/limit).
	loadBytesPerSecond = 600
	// loadBurstBytes lets the first changes after a quiet time through at once; small changes leave half of it to those
	// that decide where requests go.
	loadBurstBytes = 6000
	// loadFrameBytes is the size of a frame around a report: header, two array elements and the topic.
	loadFrameBytes = wire.HeaderBytes + 3 + 1 + len(core.TopicLoad)
)

// loadSender decides when the load is reported to the neighbourhood.
type loadSender struct {
	agent    *Agent
	budget   int // bytes that may be sent now, may be negative after a report that had to be repeated
	filledAt core.Instant
	last     map[string]core.ServiceLoad
	sentAt   core.Instant
}

func newLoadSender(a *Agent) *loadSender {
	return &loadSender{agent: a, budget: loadBurstBytes, filledAt: a.config.Timer.Now()}
}

// tick sends the load if it has changed and the budget permits it, or if the last report is old.
func (s *loadSender) tick() {
	load := s.agent.config.Load()
	now := s.agent.config.Timer.Now()
	s.refill(now)
	if s.last != nil && now.Sub(s.sentAt) < loadKeepAlive && !s.permits(load) {
		return
	}
	s.budget -= s.agent.sendLoad(load)
	s.last = load
	s.sentAt = now
}

// permits reports whether load differs from the last report and the budget suffices for the difference.
func (s *loadSender) permits(load map[string]core.ServiceLoad) bool {
	switch {
	case equalLoad(load, s.last):
		return false
	case otherSlots(load, s.last):
		// Peers send nothing to a host that reports no slots of a service; ownership changes are few.
		return true
	case decisive(load, s.last):
		return s.budget > 0
	default:
		return s.budget > loadBurstBytes/2
	}
}

// refill adds what the time since the last refill permits.
func (s *loadSender) refill(now core.Instant) {
	s.budget = min(loadBurstBytes, s.budget+int(now.Sub(s.filledAt).Milliseconds()*loadBytesPerSecond/1000))
	s.filledAt = now
}

// decisive reports whether a service got or lost its free slots, or its wait doubled or halved; both name the same services.
func decisive(a, b map[string]core.ServiceLoad) bool {
	for service, load := range a {
		old := b[service]
		if (load.FreeSlots > 0) != (old.FreeSlots > 0) || load.WaitMs > 2*old.WaitMs || 2*load.WaitMs < old.WaitMs {
			return true
		}
	}
	return false
}

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

// otherSlots reports whether a service got or lost slots.
func otherSlots(a, b map[string]core.ServiceLoad) bool {
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
