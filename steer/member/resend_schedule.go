package member

import (
	"time"

	"ebonyrouter.dev/core"
)

// pace says when a message is sent again: after each change, every interval until the change is settled, and every idle
// time from then on.
type pace struct {
	changedAt core.Instant
	idle      time.Duration
	interval  time.Duration
	sentAt    core.Instant
	settled   time.Duration
}

// due reports whether the message is sent at now, and notes it.
func (p *pace) due(changed bool, now core.Instant) bool {
	if changed {
		p.changedAt = now
	}
	wait := p.idle
	if now.Sub(p.changedAt) <= p.settled {
		wait = p.interval
	}
	if !changed && now.Sub(p.sentAt) < wait {
		return false
	}
	p.sentAt = now
	return true
}
