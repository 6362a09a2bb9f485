package lease

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

const (
	region   = "luzon"
	deadline = 2 * time.Second
)

var object = core.TargetObject("bookings", "t1")

// Grantors of the tests: two in the region and one in another.
var (
	grantorB = core.GrantorRef{Host: "b", Incarnation: "b1"}
	grantorC = core.GrantorRef{Host: "c", Incarnation: "c1"}
	grantorD = core.GrantorRef{Host: "d", Incarnation: "d1"}
)

// pair returns a document of two members; a has three grantors, b is confirmed by a alone.
func pair(epoch int64, owner core.ObjectOwner) core.Ownership {
	return core.Ownership{
		Epoch: epoch,
		Members: map[string]core.Member{
			"a": {Grantors: []core.GrantorRef{grantorB, grantorC, grantorD}, GrantorsFrom: 1, Host: "a", Incarnation: "a1"},
			"b": {Grantors: []core.GrantorRef{{Host: "a", Incarnation: "a1"}}, GrantorsFrom: 1, Host: "b", Incarnation: "b1"},
		},
		Objects: map[string]core.ObjectOwner{object: owner},
		Region:  region,
	}
}

func hosts() hostList {
	return hostList{
		{Host: "a", Incarnation: "a1", LinkAddress: "a:1"},
		{Host: "b", Incarnation: "b1", LinkAddress: "b:1"},
		{Host: "c", Incarnation: "c1", LinkAddress: "c:1"},
		{Host: "d", Incarnation: "d1", LinkAddress: "d:1"},
	}
}

func newTestHolder(c *clock, options ...Option) *Holder {
	options = append(options, WithDeadline(func(string) time.Duration { return deadline }))
	return NewHolder("a", region, "a1", "steer-a:1", c, nil, hosts(), options...)
}

// confirm lets the named grantors confirm the holder after delay.
func confirm(t *testing.T, h *Holder, c *clock, delay time.Duration, by ...core.GrantorRef) {
	t.Helper()
	renewals := h.grantorRenewals(c.now)
	c.now = c.now.Add(delay)
	for _, r := range renewals {
		if slices.Contains(by, r.grantor) {
			h.confirmed(r, core.LeaseReply{Confirmed: true})
		}
	}
}

// Guards against a validity that is counted from the reply instead of the request.
func TestValidityCountsFromRequest(t *testing.T) {
	c := &clock{now: 100}
	h := newTestHolder(c)
	h.SetOwnership(pair(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
	_, ok := h.Owns(object)
	assert.Assert(t, !ok, "an unconfirmed member may not use its objects")
	sent := c.now
	confirm(t, h, c, 400*time.Millisecond, grantorB, grantorD)
	until, ok := h.Owns(object)
	assert.Assert(t, ok)
	assert.Equal(t, until, sent.Add(core.LeaseTerm))
	c.now = until
	_, ok = h.Owns(object)
	assert.Assert(t, !ok, "the lease has ended")
}

// Guards against a new owner that uses an object while the revoked owner may still do so, and against a document of
// an older epoch or another incarnation that gives an object back.
func TestOwnsAfterChange(t *testing.T) {
	wait := core.LeaseTerm + core.ClockDriftMargin + deadline
	for name, test := range map[string]struct {
		documents []core.Ownership
		after     time.Duration
		want      bool
	}{
		"released object at once":  {[]core.Ownership{pair(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3})}, 0, true},
		"revoked object too early": {[]core.Ownership{pair(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true})}, wait - 1, false},
		"revoked object after the wait": {
			[]core.Ownership{pair(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true})}, wait, true,
		},
		"other incarnation": {[]core.Ownership{pair(3, core.ObjectOwner{Host: "a", Incarnation: "a0", Since: 3})}, 0, false},
		"lower epoch": {
			[]core.Ownership{
				pair(4, core.ObjectOwner{Host: "b", Incarnation: "b1", Since: 4}), pair(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3}),
			}, 0, false,
		},
		"unchanged revoked object keeps its first record": {
			[]core.Ownership{
				pair(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true}),
				pair(4, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true}),
			}, wait, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: 100}
			h := newTestHolder(c)
			for _, d := range test.documents {
				h.SetOwnership(d)
			}
			c.now = c.now.Add(test.after)
			confirm(t, h, c, 0, grantorC, grantorD)
			_, ok := h.Owns(object)
			assert.Equal(t, ok, test.want)
		})
	}
}

// Guards against a release that is written while the object is in use or while its takeover wait runs.
func TestReleaseWaits(t *testing.T) {
	c := &clock{now: 100}
	inUse := 1
	h := newTestHolder(c, WithInUse(func(string) int { return inUse }))
	h.SetOwnership(pair(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true}))
	h.Release(object)
	_, ok := h.planChange(c.now)
	assert.Assert(t, !ok, "the takeover wait is not over")
	c.now = c.now.Add(time.Minute)
	_, ok = h.planChange(c.now)
	assert.Assert(t, !ok, "the object is in use")
	confirm(t, h, c, 0, grantorB, grantorC)
	assert.Equal(t, h.ValidUntil(object), c.now.Add(core.LeaseTerm), "requests in flight are cut off by the release")
	inUse = 0
	change, ok := h.planChange(c.now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, change.Release, map[string]int64{object: 3})

	confirm(t, h, c, 0, grantorB, grantorC)
	_, ok = h.Owns(object)
	assert.Assert(t, !ok, "a released object is in use again")
	for _, earlier := range []core.LeaseOutcome{core.LeaseUnknown, core.LeaseApplied} {
		h.unresolved = false
		h.changed(change, earlier)
		h.changed(change, core.LeaseRefused)
		_, ok = h.Owns(object)
		assert.Assert(t, !ok, "the earlier request with outcome %q may take effect", earlier)
	}
	h.unresolved = false
	h.changed(change, core.LeaseRefused)
	_, ok = h.Owns(object)
	assert.Assert(t, ok, "nothing was written")
}

// Guards against a revoked process that goes on under the incarnation that others may have replaced.
func TestRevokedHolderRejoins(t *testing.T) {
	c := &clock{now: 100}
	h := newTestHolder(c)
	h.SetOwnership(pair(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
	renewals := h.grantorRenewals(c.now)
	assert.Equal(t, len(renewals), 3)
	d := pair(2, core.ObjectOwner{Host: "b", Incarnation: "b1", Since: 2, Revoked: true})
	delete(d.Members, "a")
	h.SetOwnership(d)
	assert.Equal(t, h.Incarnation(), "a1.1")
	d = pair(3, core.ObjectOwner{Host: "a", Incarnation: "a1.1", Since: 3})
	d.Members["a"] = core.Member{Grantors: []core.GrantorRef{grantorB}, GrantorsFrom: 1, Host: "a", Incarnation: "a1.1"}
	h.SetOwnership(d)
	for _, r := range renewals {
		h.confirmed(r, core.LeaseReply{Confirmed: true})
	}
	_, ok := h.Owns(object)
	assert.Assert(t, !ok, "a confirmation of the old incarnation counts for the new one")
}

// Guards against a lease that rests on fewer grantors than have to confirm it: the others may have withdrawn.
func TestQuorumOfConfirmations(t *testing.T) {
	for name, test := range map[string]struct {
		grantors []core.GrantorRef
		by       []core.GrantorRef
		want     bool
	}{
		"none of three":      {[]core.GrantorRef{grantorB, grantorC, grantorD}, nil, false},
		"one of three":       {[]core.GrantorRef{grantorB, grantorC, grantorD}, []core.GrantorRef{grantorB}, false},
		"one of three twice": {[]core.GrantorRef{grantorB, grantorC, grantorD}, []core.GrantorRef{grantorB, grantorB}, false},
		"two of three":       {[]core.GrantorRef{grantorB, grantorC, grantorD}, []core.GrantorRef{grantorB, grantorD}, true},
		"one of two":         {[]core.GrantorRef{grantorB, grantorC}, []core.GrantorRef{grantorC}, true},
		"one of one":         {[]core.GrantorRef{grantorB}, []core.GrantorRef{grantorB}, true},
		"other grantor":      {[]core.GrantorRef{grantorB}, []core.GrantorRef{grantorC}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: 100}
			h := newTestHolder(c)
			d := pair(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1})
			d.Members["a"] = core.Member{Grantors: test.grantors, GrantorsFrom: 1, Host: "a", Incarnation: "a1"}
			h.SetOwnership(d)
			for _, by := range test.by {
				confirm(t, h, c, 100*time.Millisecond, by)
			}
			until, ok := h.Owns(object)
			assert.Equal(t, ok, test.want)
			if ok {
				assert.Equal(t, until, core.Instant(100).Add(core.LeaseTerm), "the oldest of the needed requests counts")
			}
			_, ask := h.storeRenewal(c.now)
			assert.Equal(t, ask, !test.want)
		})
	}
}

// Guards against confirmations of an old set that count while a change is under way, or after one that may have been
// written, and against an old set that stays lost after a change that certainly was not written.
func TestChangeOfGrantors(t *testing.T) {
	type outcomes []core.LeaseOutcome
	for name, test := range map[string]struct {
		outcomes outcomes
		want     bool
	}{
		"under way":             {nil, false},
		"refused":               {outcomes{core.LeaseRefused}, true},
		"unknown":               {outcomes{core.LeaseUnknown}, false},
		"unknown, then refused": {outcomes{core.LeaseUnknown, core.LeaseRefused}, false},
		"applied, then refused": {outcomes{core.LeaseApplied, core.LeaseRefused}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: 100}
			h := newTestHolder(c)
			h.SetOwnership(pair(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
			early := h.grantorRenewals(c.now)
			set := []core.GrantorRef{grantorD, grantorB}
			stale := core.LeaseAdvice{Epoch: 1, Grantors: set, GrantorsFrom: 0, Incarnation: "a1", Region: region}
			h.Advise(stale)
			_, ok := h.planChange(c.now)
			assert.Assert(t, !ok, "advice for another set")
			stale.GrantorsFrom = 1
			h.Advise(stale)
			change, ok := h.planChange(c.now)
			assert.Assert(t, ok)
			for _, o := range test.outcomes {
				h.changed(change, o)
			}
			for _, r := range append(early, h.grantorRenewals(c.now)...) {
				h.confirmed(r, core.LeaseReply{Confirmed: true})
			}
			_, ok = h.Owns(object)
			assert.Equal(t, ok, test.want)
			r, ok := h.storeRenewal(c.now)
			assert.Equal(t, ok, !test.want, "only the store counts during a change")
			h.confirmed(r, core.LeaseReply{Confirmed: ok})
			_, ok = h.Owns(object)
			assert.Assert(t, ok)

			d := pair(2, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1})
			d.Members["a"] = core.Member{Grantors: set, GrantorsFrom: 2, Host: "a", Incarnation: "a1"}
			h.SetOwnership(d)
			h.changed(change, core.LeaseUnknown)
			c.now = c.now.Add(core.LeaseTerm)
			for _, r := range early {
				r.sentAt = c.now
				h.confirmed(r, core.LeaseReply{Confirmed: true})
			}
			_, ok = h.Owns(object)
			assert.Assert(t, !ok, "the old set confirms")
			confirm(t, h, c, 0, grantorB)
			_, ok = h.Owns(object)
			assert.Assert(t, ok, "the new set does not confirm")
		})
	}
}

// Guards against a change of the owned objects that nobody is told of, and against a call for each renewal.
func TestChangesAreTold(t *testing.T) {
	c := &clock{now: 100}
	told := 0
	h := newTestHolder(c, WithChanges(func() { told++ }))
	h.SetOwnership(pair(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
	assert.Equal(t, told, 1)
	confirm(t, h, c, 0, grantorB, grantorC)
	h.SetOwnership(pair(2, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
	assert.Equal(t, told, 1)
	h.Release(object)
	assert.Equal(t, told, 2)
}
