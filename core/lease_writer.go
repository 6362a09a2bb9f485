package core

import "context"

// OwnershipWriter reads and changes ownership documents for a steer.
type OwnershipWriter interface {
	// Change writes a member's change to its own entries atomically.
	Change(ctx context.Context, change LeaseChange) LeaseChangeReply
	// Confirm reads the store and confirms the lease if the incarnation is still listed.
	Confirm(ctx context.Context, renew LeaseRenew) LeaseReply
	// Join adds an incarnation of the local entry process, which must already be registered.
	Join(ctx context.Context, incarnation string) error
	// Observe adopts a document that another steer pushed, unless a newer one is known.
	Observe(document Ownership)
	// Revoke removes a member of any region once enough of its grantors have withdrawn.
	Revoke(ctx context.Context, revoke MemberRevoke) LeaseChangeReply
}
