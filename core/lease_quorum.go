package core

// MaxGrantors is the largest number of lease grantors of one member.
const MaxGrantors = 3

// LeaseQuorum returns how many of the given number of grantors must confirm a lease and how many must withdraw before
// the member may be removed. The sum is greater than the number of grantors, so every set that withdrew shares a grantor
// with every set that confirmed, and that grantor confirms nothing after its withdrawal. Without grantors both are 0, and
// leases are confirmed through the store.
func LeaseQuorum(grantors int) (confirm, revoke int) {
	switch grantors {
	case 0:
		return 0, 0
	case 1:
		return 1, 1
	default:
		return grantors - 1, 2
	}
}
