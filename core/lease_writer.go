package core

import "context"

// OwnershipWriter is the part of a steer that reads and changes ownership documents.
type OwnershipWriter interface {
	// Change writes what a member changes about itself, all of it or nothing.
	Change(ctx context.Context, change LeaseChange) LeaseChangeReply
	// Confirm reads the store and reports whether the incarnation is still listed.
	Confirm(ctx context.Context, renew LeaseRenew) LeaseReply
	// Join adds an incarnation of the local entry process; it must be registered before.
	Join(ctx context.Context, incarnation string) error
	// Observe adopts a document that another steer pushed, unless a newer one is known.
	Observe(document Ownership)
	// Revoke removes a member of any region from which enough of its grantors have withdrawn.
	Revoke(ctx context.Context, revoke MemberRevoke) LeaseChangeReply
}
