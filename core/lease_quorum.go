package core

// MaxGrantors is the largest number of lease grantors of one member.
const MaxGrantors = 3

// LeaseQuorum returns how many of the given number of grantors have to confirm a lease and how many have to withdraw
// before the member may be removed. The sum is greater than the number of grantors: any set that withdrew shares a
// grantor with any set that confirmed, and that grantor confirms nothing after its withdrawal. Without grantors both
// are 0, and only the store confirms.
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
