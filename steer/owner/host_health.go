package owner

// hostHealth describes how well a host is suited as a grantor.
type hostHealth int

const (
	hostLive hostHealth = iota
	// hostSuspected is a host that is suspected, not ready or no member.
	hostSuspected
	// hostLost is a host that has been hostSuspected for lostAfter.
	hostLost
)
