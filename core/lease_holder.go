package core

import "context"

// LeaseHolder manages the lease and the owned objects of an entry process.
type LeaseHolder interface {
	Lease
	OwnershipView
	// Advise applies advice of the steer to release objects or to change the grantors.
	Advise(advice LeaseAdvice)
	// Drain releases all objects and leaves the region's ownership document.
	Drain(ctx context.Context) error
	// Incarnation returns the current incarnation of the process; it changes after a revocation.
	Incarnation() string
	// SetOwnership adopts an ownership document unless a newer one for its region is known.
	SetOwnership(document Ownership)
}

// LeaseGrantor confirms the leases of the members that have this process as a grantor.
type LeaseGrantor interface {
	// Confirm replies to one lease renewal of a grantee.
	Confirm(renew LeaseRenew) LeaseReply
}
