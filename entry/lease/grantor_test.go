package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// renewB is the renewal of member b, a grantee of a.
var renewB = core.LeaseRenew{Epoch: 1, GrantorsFrom: 1, Host: "b", Incarnation: "b1", Region: region}

// newTestGrantor returns the grantor on host a, which is not a member itself. Its grantee is b, whose other grantors
// are c and d.
func newTestGrantor(c *clock, down *bool, view core.HostView) (*Grantor, core.Ownership) {
	h := newTestHolder(c)
	h.hosts = view
	d := testDocument(1, core.ObjectOwner{Host: "b", Incarnation: "b1", Since: 1})
	d.Members["b"] = core.Member{
		Grantors: []core.GrantorRef{{Host: "a", Incarnation: "a1"}, grantorC, grantorD}, GrantorsFrom: 1, Host: "b", Incarnation: "b1",
	}
	delete(d.Members, "a")
	h.SetOwnership(d)
	return NewGrantor(h, func() bool { return *down }), d
}

// TestConfirmNeedsMatchingSet guards against confirming another incarnation, set or region, and against a grantor that
// does not confirm because it has no lease itself or is not a member of the region.
func TestConfirmNeedsMatchingSet(t *testing.T) {
	for name, test := range map[string]struct {
		edit func(*core.LeaseRenew, *core.Ownership)
		want bool
	}{
		"same":              {func(*core.LeaseRenew, *core.Ownership) {}, true},
		"other incarnation": {func(r *core.LeaseRenew, _ *core.Ownership) { r.Incarnation = "b0" }, false},
		"older set":         {func(r *core.LeaseRenew, _ *core.Ownership) { r.GrantorsFrom = 0 }, false},
		"newer set":         {func(r *core.LeaseRenew, _ *core.Ownership) { r.GrantorsFrom = 2 }, false},
		"other region":      {func(r *core.LeaseRenew, _ *core.Ownership) { r.Region = "visayas" }, false},
		"member removed":    {func(_ *core.LeaseRenew, d *core.Ownership) { delete(d.Members, "b") }, false},
		"other region's document": {func(r *core.LeaseRenew, d *core.Ownership) {
			d.Region, r.Region = "visayas", "visayas"
		}, true},
		"other incarnation of the grantor": {func(_ *core.LeaseRenew, d *core.Ownership) {
			d.Members["b"].Grantors[0].Incarnation = "a0"
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g, d := newTestGrantor(&clock{now: 100}, new(bool), hosts())
			d.Epoch = 2
			renew := renewB
			test.edit(&renew, &d)
			g.holder.SetOwnership(d)
			assert.Equal(t, g.Confirm(renew).Confirmed, test.want)
		})
	}
}

// TestGrantorWithdraws guards against a withdrawal that is undone, against withdrawing during a store outage or right
// after a pause of the grantor, against a revocation before enough grantors have withdrawn, and against counting
// withdrawals of other sets or processes.
func TestGrantorWithdraws(t *testing.T) {
	c, down := &clock{now: 100}, true
	g, d := newTestGrantor(c, &down, hosts())
	step := func(d time.Duration) {
		for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(granteeCheckInterval) {
			g.checkGrantees()
		}
	}
	step(time.Minute)
	assert.Assert(t, g.Confirm(renewB).Confirmed, "withdrew while the store was unavailable")
	down = false
	c.now = c.now.Add(time.Minute)
	step(core.LeaseRevokeAfter - granteeCheckInterval)
	assert.Assert(t, g.Confirm(renewB).Confirmed, "withdrew right after its own pause")
	step(core.LeaseRevokeAfter)
	assert.Equal(t, len(g.checkGrantees()), 1)
	assert.Assert(t, !g.Confirm(renewB).Confirmed)
	notice := g.checkGrantees()[0]
	assert.DeepEqual(t, notice.addresses, []string{"c:1", "d:1", "b:1"})
	assert.DeepEqual(t, notice.message, core.LeaseWithdrawn{
		Grantor: core.GrantorRef{Host: "a", Incarnation: "a1"}, GrantorsFrom: 1, Host: "b", Incarnation: "b1", Region: region,
	})

	other := notice.message
	for _, grantor := range []core.GrantorRef{{Host: "a", Incarnation: "a1"}, {Host: "c", Incarnation: "c0"}, {Host: "e", Incarnation: "e1"}} {
		other.Grantor = grantor
		g.ObserveWithdrawal(other)
	}
	other.Grantor = grantorC
	other.GrantorsFrom = 2
	g.ObserveWithdrawal(other)
	assert.Equal(t, len(g.dueRevocations()), 0)
	other.GrantorsFrom = 1
	g.ObserveWithdrawal(other)
	assert.DeepEqual(t, g.dueRevocations(), []core.MemberRevoke{{
		GrantorsFrom: 1, Host: "b", Incarnation: "b1", Region: region, Withdrawn: []core.GrantorRef{{Host: "a", Incarnation: "a1"}, grantorC},
	}})
	g.recordRevokeReply(core.LeaseChangeReply{Outcome: core.LeaseRefused, StoreDown: true})
	assert.Equal(t, len(g.dueRevocations()), 0, "requested a revocation while the store is unavailable")
	c.now = c.now.Add(storeDownPeriod)
	d.Epoch = 2
	g.holder.SetOwnership(d)
	assert.Equal(t, len(g.dueRevocations()), 1)
	assert.Assert(t, !g.Confirm(renewB).Confirmed, "a withdrawal was undone")

	b := d.Members["b"]
	b.GrantorsFrom = 3
	d.Members = map[string]core.Member{"b": b}
	d.Epoch = 3
	g.holder.SetOwnership(d)
	renew := renewB
	renew.GrantorsFrom = 3
	assert.Assert(t, g.Confirm(renew).Confirmed, "a new set starts without withdrawals")
}

// TestGrantorWithdrawsFromReplaced guards against a replaced process that keeps its lease, and against mistaking a list
// of hosts that lags behind the document for a replacement.
func TestGrantorWithdrawsFromReplaced(t *testing.T) {
	c := &clock{now: 100}
	view := hosts()
	view[1].Incarnation = "b0"
	g, _ := newTestGrantor(c, new(bool), view)
	assert.Equal(t, len(g.checkGrantees()), 0, "the list of hosts lags behind the document")
	view[1].Incarnation = "b1"
	assert.Equal(t, len(g.checkGrantees()), 0)
	view[1].Incarnation = "b2"
	assert.Equal(t, len(g.checkGrantees()), 1)
	assert.Assert(t, !g.Confirm(renewB).Confirmed)
}
