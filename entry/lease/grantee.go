package lease

import (
	"maps"
	"slices"
	"time"

	"ebonyrouter.dev/core"
)

// grantee is what a grantor knows about one member that it confirms with one set of grantors.
type grantee struct {
	lastHeard  core.Instant
	member     core.Member
	region     string
	registered bool
	replaced   bool
	// withdrawals are the grantors of the set that are known to have withdrawn; none of them confirms again.
	withdrawals map[core.GrantorRef]bool
	withdrawn   bool
}

// observe notes the incarnation that the host has registered. Only a change after the grantee's own registration
// was seen counts as a newer incarnation, because the view of hosts may lag behind the ownership document.
func (g *grantee) observe(incarnation string) {
	if incarnation == g.member.Incarnation {
		g.registered = true
		return
	}
	if g.registered {
		g.replaced = true
	}
}

// revocation returns the request to remove the member, if enough grantors have withdrawn.
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

// same reports whether the member still has the set of grantors that the grantee stands for.
func (g *grantee) same(member core.Member) bool {
	return g.member.Incarnation == member.Incarnation && g.member.GrantorsFrom == member.GrantorsFrom
}

// shouldWithdraw reports whether the grantee has been silent for too long or was replaced.
func (g *grantee) shouldWithdraw(now core.Instant) bool {
	return g.replaced || g.silence(now) >= core.LeaseRevokeAfter
}

// silence returns the time since the grantee was last heard.
func (g *grantee) silence(now core.Instant) time.Duration {
	return now.Sub(g.lastHeard)
}
