package lease

import (
	"maps"
	"slices"
	"time"

	"ebonyrouter.dev/core"
)

// grantee is the state that a grantor keeps about one member and its set of grantors.
type grantee struct {
	// lastRenewedAt is the time of the last renewal. It is also set when the member becomes a grantee and after a pause
	// of this process.
	lastRenewedAt  core.Instant
	member         core.Member
	region         string
	seenRegistered bool
	replaced       bool
	// withdrawals are the grantors of the set that are known to have withdrawn; none of them confirms the set again.
	withdrawals map[core.GrantorRef]bool
	// withdrawn means that this process has withdrawn.
	withdrawn bool
}

// observe records the registered incarnation of the grantee's host. Another incarnation counts as a replacement only
// after the grantee's own registration was seen, because the list of hosts may lag behind the ownership document.
func (g *grantee) observe(incarnation string) {
	if incarnation == g.member.Incarnation {
		g.seenRegistered = true
		return
	}
	if g.seenRegistered {
		g.replaced = true
	}
}

// revocation returns the request to remove the member, or false unless this process and enough other grantors have
// withdrawn.
func (g *grantee) revocation() (core.MemberRevoke, bool) {
	_, needed := core.LeaseQuorum(len(g.member.Grantors))
	return core.MemberRevoke{
		GrantorsFrom: g.member.GrantorsFrom,
		Host:         g.member.Host,
		Incarnation:  g.member.Incarnation,
		Region:       g.region,
		Withdrawn: slices.SortedFunc(maps.Keys(g.withdrawals), func(a, b core.GrantorRef) int {
			return slices.Index(g.member.Grantors, a) - slices.Index(g.member.Grantors, b)
		}),
	}, g.withdrawn && len(g.withdrawals) >= needed
}

// matches reports whether member still has the incarnation and the set of grantors of the grantee.
func (g *grantee) matches(member core.Member) bool {
	return g.member.Incarnation == member.Incarnation && g.member.GrantorsFrom == member.GrantorsFrom
}

// shouldWithdraw reports whether the grantee was replaced or has not renewed for core.LeaseRevokeAfter.
func (g *grantee) shouldWithdraw(now core.Instant) bool {
	return g.replaced || g.sinceRenewal(now) >= core.LeaseRevokeAfter
}

// sinceRenewal returns the time since lastRenewedAt.
func (g *grantee) sinceRenewal(now core.Instant) time.Duration {
	return now.Sub(g.lastRenewedAt)
}
