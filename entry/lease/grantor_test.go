package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// renewB is the renewal of the member that a grants.
var renewB = core.LeaseRenew{Epoch: 1, GrantorsFrom: 1, Host: "b", Incarnation: "b1", Region: region}

// newTestGrantor returns the grantor of host a, which confirms b together with c and d and is no member itself.
func newTestGrantor(c *clock, down *bool, view core.HostView) (*Grantor, core.Ownership) {
	h := newTestHolder(c)
	h.hosts = view
	d := pair(1, core.ObjectOwner{Host: "b", Incarnation: "b1", Since: 1})
	d.Members["b"] = core.Member{
		Grantors: []core.GrantorRef{{Host: "a", Incarnation: "a1"}, grantorC, grantorD}, GrantorsFrom: 1, Host: "b", Incarnation: "b1",
	}
	delete(d.Members, "a")
	h.SetOwnership(d)
	return NewGrantor(h, func() bool { return *down }), d
}

// Guards against a confirmation of another incarnation, set or region, and against a grantor that confirms nothing
// because it has no lease itself or is no member of the region.
func TestConfirmNeedsSet(t *testing.T) {
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

// Guards against a withdrawal that is taken back, one during an outage of the store or right after a pause, a
// revocation before enough grantors have withdrawn, and withdrawals of other sets or processes that count.
func TestGrantorWithdraws(t *testing.T) {
	c, down := &clock{now: 100}, true
	g, d := newTestGrantor(c, &down, hosts())
	step := func(d time.Duration) {
		for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(grantorInterval) {
			g.check()
		}
	}
	step(time.Minute)
	assert.Assert(t, g.Confirm(renewB).Confirmed, "withdrew while the store was away")
	down = false
	c.now = c.now.Add(time.Minute)
	step(core.LeaseRevokeAfter - grantorInterval)
	assert.Assert(t, g.Confirm(renewB).Confirmed, "withdrew after a pause of its own")
	step(core.LeaseRevokeAfter)
	assert.Equal(t, len(g.check()), 1)
	assert.Assert(t, !g.Confirm(renewB).Confirmed)
	notice := g.check()[0]
	assert.DeepEqual(t, notice.addresses, []string{"c:1", "d:1", "b:1"})
	assert.DeepEqual(t, notice.message, core.LeaseWithdrawn{
		Grantor: core.GrantorRef{Host: "a", Incarnation: "a1"}, GrantorsFrom: 1, Host: "b", Incarnation: "b1", Region: region,
	})

	other := notice.message
	for _, grantor := range []core.GrantorRef{{Host: "a", Incarnation: "a1"}, {Host: "c", Incarnation: "c0"}, {Host: "e", Incarnation: "e1"}} {
		other.Grantor = grantor
		g.Withdrawn(other)
	}
	other.Grantor = grantorC
	other.GrantorsFrom = 2
	g.Withdrawn(other)
	assert.Equal(t, len(g.revocations()), 0)
	other.GrantorsFrom = 1
	g.Withdrawn(other)
	assert.DeepEqual(t, g.revocations(), []core.MemberRevoke{{
		GrantorsFrom: 1, Host: "b", Incarnation: "b1", Region: region, Withdrawn: []core.GrantorRef{{Host: "a", Incarnation: "a1"}, grantorC},
	}})
	g.resolve(core.LeaseChangeReply{Outcome: core.LeaseRefused, StoreDown: true})
	assert.Equal(t, len(g.revocations()), 0, "asks again while the store is away")
	c.now = c.now.Add(storeDownFor)
	d.Epoch = 2
	g.holder.SetOwnership(d)
	assert.Equal(t, len(g.revocations()), 1)
	assert.Assert(t, !g.Confirm(renewB).Confirmed, "a withdrawal was taken back")

	b := d.Members["b"]
	b.GrantorsFrom = 3
	d.Members = map[string]core.Member{"b": b}
	d.Epoch = 3
	g.holder.SetOwnership(d)
	renew := renewB
	renew.GrantorsFrom = 3
	assert.Assert(t, g.Confirm(renew).Confirmed, "a new set starts without withdrawals")
}

// Guards against a replaced process that keeps its lease, and a view of hosts that lags behind the document and is
// taken for a replacement.
func TestGrantorWithdrawsFromReplaced(t *testing.T) {
	c := &clock{now: 100}
	view := hosts()
	view[1].Incarnation = "b0"
	g, _ := newTestGrantor(c, new(bool), view)
	assert.Equal(t, len(g.check()), 0, "the view lags")
	view[1].Incarnation = "b1"
	assert.Equal(t, len(g.check()), 0)
	view[1].Incarnation = "b2"
	assert.Equal(t, len(g.check()), 1)
	assert.Assert(t, !g.Confirm(renewB).Confirmed)
}
