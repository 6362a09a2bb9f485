package member

import (
	"time"

	"ebonyrouter.dev/core"
)

// resendSchedule decides when a message is sent again: after each change, every interval until settleTime has elapsed
// since the change, and every idle from then on.
type resendSchedule struct {
	changedAt  core.Instant
	idle       time.Duration
	interval   time.Duration
	sentAt     core.Instant
	settleTime time.Duration
}

// due reports whether the message is due at now, and if so records it as sent.
func (s *resendSchedule) due(changed bool, now core.Instant) bool {
	if changed {
		s.changedAt = now
	}
	wait := s.idle
	if now.Sub(s.changedAt) <= s.settleTime {
		wait = s.interval
	}
	if !changed && now.Sub(s.sentAt) < wait {
		return false
	}
	s.sentAt = now
	return true
}
