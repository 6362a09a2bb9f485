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

// The grantors that the tests use, each on its own host.
var (
	grantorB = core.GrantorRef{Host: "b", Incarnation: "b1"}
	grantorC = core.GrantorRef{Host: "c", Incarnation: "c1"}
	grantorD = core.GrantorRef{Host: "d", Incarnation: "d1"}
)

// testDocument returns a document with two members: a with grantors b, c and d, and b with the single grantor a.
func testDocument(epoch int64, owner core.ObjectOwner) core.Ownership {
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
	options = append(options, WithMaxDeadline(func(string) time.Duration { return deadline }))
	return NewHolder("a", region, "a1", "steer-a:1", c, nil, hosts(), options...)
}

// confirm takes the renewals that h would send now, advances the clock by delay and records confirmations by the given
// grantors.
func confirm(t *testing.T, h *Holder, c *clock, delay time.Duration, by ...core.GrantorRef) {
	t.Helper()
	renewals := h.grantorRenewals(c.now)
	c.now = c.now.Add(delay)
	for _, r := range renewals {
		if slices.Contains(by, r.grantor) {
			h.recordConfirmation(r, core.LeaseReply{Confirmed: true})
		}
	}
}

// TestValidityCountsFromRequest guards against a validity that counts from the reply instead of the request.
func TestValidityCountsFromRequest(t *testing.T) {
	c := &clock{now: 100}
	h := newTestHolder(c)
	h.SetOwnership(testDocument(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
	_, ok := h.Owns(object)
	assert.Assert(t, !ok, "an unconfirmed member uses its objects")
	sent := c.now
	confirm(t, h, c, 400*time.Millisecond, grantorB, grantorD)
	until, ok := h.Owns(object)
	assert.Assert(t, ok)
	assert.Equal(t, until, sent.Add(core.LeaseTerm))
	c.now = until
	_, ok = h.Owns(object)
	assert.Assert(t, !ok, "the lease has expired")
}

// TestOwnsAfterChange guards against a new owner that uses an object while the revoked owner may still do so, and
// against a document of an older epoch or for another incarnation that assigns an object to the process.
func TestOwnsAfterChange(t *testing.T) {
	wait := core.LeaseTerm + core.ClockDriftMargin + deadline
	for name, test := range map[string]struct {
		documents []core.Ownership
		after     time.Duration
		want      bool
	}{
		"released object immediately": {
			[]core.Ownership{testDocument(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3})}, 0, true,
		},
		"revoked object before the wait has ended": {
			[]core.Ownership{testDocument(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true})}, wait - 1, false,
		},
		"revoked object after the wait": {
			[]core.Ownership{testDocument(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true})}, wait, true,
		},
		"other incarnation": {[]core.Ownership{testDocument(3, core.ObjectOwner{Host: "a", Incarnation: "a0", Since: 3})}, 0, false},
		"lower epoch": {
			[]core.Ownership{
				testDocument(4, core.ObjectOwner{Host: "b", Incarnation: "b1", Since: 4}),
				testDocument(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3}),
			}, 0, false,
		},
		"unchanged revoked object keeps its record": {
			[]core.Ownership{
				testDocument(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true}),
				testDocument(4, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true}),
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

// TestReleaseWaits guards against a release that is requested while the object is in use or its takeover wait has not
// ended.
func TestReleaseWaits(t *testing.T) {
	c := &clock{now: 100}
	inUse := 1
	h := newTestHolder(c, WithInUse(func(string) int { return inUse }))
	h.SetOwnership(testDocument(3, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 3, Revoked: true}))
	h.Release(object)
	_, ok := h.planChange(c.now)
	assert.Assert(t, !ok, "released during the takeover wait")
	c.now = c.now.Add(time.Minute)
	_, ok = h.planChange(c.now)
	assert.Assert(t, !ok, "released while in use")
	confirm(t, h, c, 0, grantorB, grantorC)
	assert.Equal(t, h.ValidUntil(object), c.now.Add(core.LeaseTerm), "the release ends in-flight requests")
	inUse = 0
	change, ok := h.planChange(c.now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, change.Release, map[string]int64{object: 3})

	confirm(t, h, c, 0, grantorB, grantorC)
	_, ok = h.Owns(object)
	assert.Assert(t, !ok, "a released object is usable again")
	for _, earlier := range []core.LeaseOutcome{core.LeaseUnknown, core.LeaseApplied} {
		h.releaseUnresolved = false
		h.recordOutcome(change, earlier)
		h.recordOutcome(change, core.LeaseRefused)
		_, ok = h.Owns(object)
		assert.Assert(t, !ok, "usable although the earlier request with outcome %q may take effect", earlier)
	}
	h.releaseUnresolved = false
	h.recordOutcome(change, core.LeaseRefused)
	_, ok = h.Owns(object)
	assert.Assert(t, ok, "not usable although nothing was written")
}

// TestRevokedHolderRejoins guards against a revoked process that continues under its old incarnation, whose objects may
// have new owners, and against confirmations of the old incarnation that count for the new one.
func TestRevokedHolderRejoins(t *testing.T) {
	c := &clock{now: 100}
	h := newTestHolder(c)
	h.SetOwnership(testDocument(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
	renewals := h.grantorRenewals(c.now)
	assert.Equal(t, len(renewals), 3)
	d := testDocument(2, core.ObjectOwner{Host: "b", Incarnation: "b1", Since: 2, Revoked: true})
	delete(d.Members, "a")
	h.SetOwnership(d)
	assert.Equal(t, h.Incarnation(), "a1.1")
	d = testDocument(3, core.ObjectOwner{Host: "a", Incarnation: "a1.1", Since: 3})
	d.Members["a"] = core.Member{Grantors: []core.GrantorRef{grantorB}, GrantorsFrom: 1, Host: "a", Incarnation: "a1.1"}
	h.SetOwnership(d)
	for _, r := range renewals {
		h.recordConfirmation(r, core.LeaseReply{Confirmed: true})
	}
	_, ok := h.Owns(object)
	assert.Assert(t, !ok, "a confirmation of the old incarnation counts for the new one")
}

// TestQuorumOfConfirmations guards against a lease that is valid without a quorum of confirmations: the other grantors
// may have withdrawn.
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
			d := testDocument(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1})
			d.Members["a"] = core.Member{Grantors: test.grantors, GrantorsFrom: 1, Host: "a", Incarnation: "a1"}
			h.SetOwnership(d)
			for _, by := range test.by {
				confirm(t, h, c, 100*time.Millisecond, by)
			}
			until, ok := h.Owns(object)
			assert.Equal(t, ok, test.want)
			if ok {
				assert.Equal(t, until, core.Instant(100).Add(core.LeaseTerm), "not counted from the oldest request of the quorum")
			}
			_, due := h.storeRenewal(c.now)
			assert.Equal(t, due, !test.want)
		})
	}
}

// TestChangeOfGrantors guards against counting confirmations of the old set while a change of grantors is undecided or
// may have been written, and against not counting them after a change that was certainly not written.
func TestChangeOfGrantors(t *testing.T) {
	type outcomes []core.LeaseOutcome
	for name, test := range map[string]struct {
		outcomes outcomes
		want     bool
	}{
		"change undecided":      {nil, false},
		"refused":               {outcomes{core.LeaseRefused}, true},
		"unknown":               {outcomes{core.LeaseUnknown}, false},
		"unknown, then refused": {outcomes{core.LeaseUnknown, core.LeaseRefused}, false},
		"applied, then refused": {outcomes{core.LeaseApplied, core.LeaseRefused}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: 100}
			h := newTestHolder(c)
			h.SetOwnership(testDocument(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
			oldRenewals := h.grantorRenewals(c.now)
			set := []core.GrantorRef{grantorD, grantorB}
			advice := core.LeaseAdvice{Epoch: 1, Grantors: set, GrantorsFrom: 0, Incarnation: "a1", Region: region}
			h.Advise(advice)
			_, ok := h.planChange(c.now)
			assert.Assert(t, !ok, "followed advice for another set")
			advice.GrantorsFrom = 1
			h.Advise(advice)
			change, ok := h.planChange(c.now)
			assert.Assert(t, ok)
			for _, o := range test.outcomes {
				h.recordOutcome(change, o)
			}
			for _, r := range append(oldRenewals, h.grantorRenewals(c.now)...) {
				h.recordConfirmation(r, core.LeaseReply{Confirmed: true})
			}
			_, ok = h.Owns(object)
			assert.Equal(t, ok, test.want)
			r, ok := h.storeRenewal(c.now)
			assert.Equal(t, ok, !test.want, "renewals through the store are due only while the change is undecided")
			h.recordConfirmation(r, core.LeaseReply{Confirmed: ok})
			_, ok = h.Owns(object)
			assert.Assert(t, ok)

			d := testDocument(2, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1})
			d.Members["a"] = core.Member{Grantors: set, GrantorsFrom: 2, Host: "a", Incarnation: "a1"}
			h.SetOwnership(d)
			h.recordOutcome(change, core.LeaseUnknown)
			c.now = c.now.Add(core.LeaseTerm)
			for _, r := range oldRenewals {
				r.sentAt = c.now
				h.recordConfirmation(r, core.LeaseReply{Confirmed: true})
			}
			_, ok = h.Owns(object)
			assert.Assert(t, !ok, "the old set still confirms")
			confirm(t, h, c, 0, grantorB)
			_, ok = h.Owns(object)
			assert.Assert(t, ok, "the new set does not confirm")
		})
	}
}

// TestOnChangeCalls guards against a change of the owned objects without a call of the callback, and against a call for
// each renewal.
func TestOnChangeCalls(t *testing.T) {
	c := &clock{now: 100}
	calls := 0
	h := newTestHolder(c, WithOnChange(func() { calls++ }))
	h.SetOwnership(testDocument(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
	assert.Equal(t, calls, 1)
	confirm(t, h, c, 0, grantorB, grantorC)
	h.SetOwnership(testDocument(2, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
	assert.Equal(t, calls, 1)
	h.Release(object)
	assert.Equal(t, calls, 2)
}
