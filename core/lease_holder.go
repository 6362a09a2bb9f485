package core

import "context"

// LeaseHolder is the part of an entry process that holds its lease and its objects.
type LeaseHolder interface {
	Lease
	OwnershipView
	// Advise follows the steer's advice to release objects or to change its grantors.
	Advise(advice LeaseAdvice)
	// Drain releases all objects and leaves the region's ownership document.
	Drain(ctx context.Context) error
	// Incarnation returns the name under which the process takes part; it changes after a revocation.
	Incarnation() string
	// SetOwnership adopts an ownership document unless a newer one of the region is known.
	SetOwnership(document Ownership)
}

// LeaseGrantor confirms the leases of the members whose ownership documents name this process.
type LeaseGrantor interface {
	// Confirm answers one renewal of a grantee.
	Confirm(renew LeaseRenew) LeaseReply
}
