package audit

import "time"

// Role is the part of a host among those of its availability zone that tell each other what they have checked.
type Role int

// Roles of a host.
const (
	// Alone is a host that learns nothing from others.
	Alone Role = iota
	// Relay is a host that checks for others.
	Relay
	// Member is a host that learns from a relay about once a second what the relay has checked.
	Member
)

const (
	// responseDelay is the time by which the responses that show the same revision may be apart: the pause of a follower during a
	// burst of changes, and the time of a slow response.
	responseDelay = 700 * time.Millisecond
	// memberDelay is the time after which a relay has told what it has checked: responseDelay, a check and the next reply.
	memberDelay = 2200 * time.Millisecond
	// checkInterval is the time between two checks of a call. A host must be up to date 4 s after the store has lost a response.
	checkInterval = 3200 * time.Millisecond
)

// delay returns the time from an unexplained revision to its check. The last check of the call was the given time ago.
func (r Role) delay(sinceCheck time.Duration) time.Duration {
	switch r {
	case Relay:
		return responseDelay
	case Member:
		return memberDelay
	case Alone:
	}
	return max(responseDelay, checkInterval-sinceCheck)
}
