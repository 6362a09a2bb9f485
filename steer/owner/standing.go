package owner

// standing says whether a host can be relied on as a grantor.
type standing int

const (
	standingHeard standing = iota
	// standingSuspected is a host that is suspected, not ready or no member.
	standingSuspected
	// standingGone is a host that has been so for goneAfter.
	standingGone
)
