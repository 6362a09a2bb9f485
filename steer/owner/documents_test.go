package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/steer/owner"
)

var hosts = hostList{
	{Host: "a", Incarnation: "a1", Region: "luzon", State: core.HostReady, Zone: "l1"},
	{Host: "b", Incarnation: "b1", Region: "luzon", State: core.HostReady, Zone: "l2"},
	{Host: "c", Incarnation: "c1", Region: "luzon", State: core.HostReady, Zone: "l1"},
	{Host: "d", Incarnation: "d1", Region: "luzon", State: core.HostReady, Zone: "l2"},
}

// region is a region with a store and the steers of all its hosts.
type region struct {
	advice    core.LeaseAdvice
	clock     *clock
	liveHosts hostList
	hosts     hostList
	source    *settingsSource
	steers    map[string]*owner.Documents
	store     *memory
}

func newRegion(targets int) *region {
	return newRegionOf(targets, hosts)
}

func newRegionOf(targets int, all hostList) *region {
	r := &region{
		clock: &clock{}, liveHosts: all, hosts: all, source: testSettings(targets), steers: map[string]*owner.Documents{},
		store: &memory{},
	}
	for _, h := range all {
		r.steers[h.Host] = r.steer(h.Host)
	}
	return r
}

func (r *region) steer(host string) *owner.Documents {
	ids := 0
	return owner.New(host, "luzon", r.store, r.clock, r.source, mutableHosts{&r.hosts},
		owner.WithBackoff(func(int) time.Duration { return 0 }),
		owner.WithOnAdvice(func(a core.LeaseAdvice) { r.advice = a }), owner.WithLiveHosts(mutableHosts{&r.liveHosts}),
		owner.WithChangeID(func() string {
			ids++
			return fmt.Sprintf("%s-%d-%d", host, r.store.version, ids)
		}))
}

func (r *region) document(t *testing.T) core.Ownership {
	t.Helper()
	var d core.Ownership
	assert.NilError(t, json.Unmarshal(r.store.objects[core.KeyOwnershipPrefix+"luzon"].Value, &d))
	return d
}

// join joins the named hosts one after another and rebalances after each.
func (r *region) join(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		assert.NilError(t, r.steers[name].Join(context.Background(), name+"1"))
		r.settle(t)
	}
}

// settle applies the advice of the steers to all members until there is none.
func (r *region) settle(t *testing.T) {
	t.Helper()
	for range 100 {
		d := r.document(t)
		changed := false
		for name, m := range d.Members {
			a := owner.Advise(r.document(t), name, owner.Objects(r.source.Current(), "luzon"), zones())
			c := core.LeaseChange{Host: name, Incarnation: m.Incarnation, Region: "luzon", Release: map[string]int64{}}
			for _, o := range a.Release {
				c.Release[o] = r.document(t).Objects[o].Since
			}
			if len(a.Release) == 0 {
				continue
			}
			changed = true
			assert.Equal(t, r.steers[name].Change(context.Background(), c).Outcome, core.LeaseApplied)
		}
		if !changed {
			return
		}
	}
	t.Fatal("the members still get advice after 100 rounds")
}

func zones() map[string]string {
	z := map[string]string{}
	for _, h := range hosts {
		z[h.Host] = h.Zone
	}
	return z
}

// counts returns the number of targets that each host owns.
func counts(d core.Ownership) map[string]int {
	n := map[string]int{}
	for name, o := range d.Objects {
		if name[:6] == "target" {
			n[o.Host]++
		}
	}
	return n
}

// TestJoinsBalance guards against objects without an owner and an unbalanced assignment after joins.
func TestJoinsBalance(t *testing.T) {
	r := newRegion(12)
	r.join(t, "a", "b", "c", "d")
	d := r.document(t)
	assert.DeepEqual(t, counts(d), map[string]int{"a": 3, "b": 3, "c": 3, "d": 3})
	for name, m := range d.Members {
		assert.Equal(t, len(m.Grantors), core.MaxGrantors, name)
	}
	_, remote := d.Objects[core.TargetObject("bookings", "remote")]
	assert.Assert(t, !remote, "a target of a remote region has an owner")
	for _, o := range []string{core.ShiftObject("bookings", "luzon", "visayas")} {
		assert.Assert(t, d.Objects[o].Host != "", o)
	}
}

// revocation returns the request to remove a member after the first n of its grantors have withdrawn.
func (r *region) revocation(t *testing.T, host string, n int) core.MemberRevoke {
	t.Helper()
	m := r.document(t).Members[host]
	return core.MemberRevoke{
		GrantorsFrom: m.GrantorsFrom, Host: host, Incarnation: m.Incarnation, Region: "luzon", Withdrawn: m.Grantors[:n],
	}
}

// TestRevokeNeedsQuorum guards against a revocation by too few grantors, by grantors that are not in the current set,
// or for another set: the grantors may still confirm the lease or have confirmed it recently.
func TestRevokeNeedsQuorum(t *testing.T) {
	for name, edit := range map[string]func(*core.MemberRevoke){
		"one withdrawal":       func(m *core.MemberRevoke) { m.Withdrawn = m.Withdrawn[:1] },
		"one withdrawal twice": func(m *core.MemberRevoke) { m.Withdrawn[1] = m.Withdrawn[0] },
		"other incarnation":    func(m *core.MemberRevoke) { m.Withdrawn[1].Incarnation += "x" },
		"other host":           func(m *core.MemberRevoke) { m.Withdrawn[1].Host = "c" },
		"older set":            func(m *core.MemberRevoke) { m.GrantorsFrom-- },
		"no withdrawal":        func(m *core.MemberRevoke) { m.Withdrawn = nil },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegion(4)
			r.join(t, "a", "b", "c", "d")
			revoke := r.revocation(t, "c", 2)
			edit(&revoke)
			assert.Equal(t, r.steers["a"].Revoke(context.Background(), revoke).Outcome, core.LeaseRefused)
			_, listed := r.document(t).Members["c"]
			assert.Assert(t, listed)
		})
	}
}

// TestRevokeMovesOnlyItsObjects guards against a revocation that moves objects of other members, treats revoked objects
// as released or changes the grantors of other members, and against a steer that cannot revoke a member of another
// region.
func TestRevokeMovesOnlyItsObjects(t *testing.T) {
	for _, by := range []string{"luzon", "visayas"} {
		t.Run(by, func(t *testing.T) {
			r := newRegion(12)
			r.join(t, "a", "b", "c", "d")
			before := r.document(t)
			var announced core.Ownership
			steer := owner.New("x", by, r.store, r.clock, r.source, hosts,
				owner.WithOnChange(func(d core.Ownership, _ bool) { announced = d }))
			revoke := r.revocation(t, "c", 2)
			assert.Equal(t, steer.Revoke(context.Background(), revoke).Outcome, core.LeaseApplied)
			after := r.document(t)
			assert.DeepEqual(t, announced, after)
			for name, o := range after.Objects {
				if before.Objects[name].Host == "c" {
					assert.Assert(t, o.Revoked && o.Host != "c" && o.Since == after.Epoch, name)
					continue
				}
				assert.DeepEqual(t, o, before.Objects[name])
			}
			delete(before.Members, "c")
			assert.DeepEqual(t, after.Members, before.Members)
			assert.Equal(t, steer.Revoke(context.Background(), revoke).Outcome, core.LeaseApplied, "a repeated request")
			assert.Equal(t, r.document(t).Epoch, after.Epoch)
		})
	}
}

// TestLostResponses guards against treating a lost response as a failure, against a write made twice, and against
// reporting a refusal while the write may still take effect.
func TestLostResponses(t *testing.T) {
	unknownResult := failure{err: core.ErrUncertain}
	lostResponse := failure{err: core.ErrUncertain, lost: true}
	refused := failure{err: core.ErrUnavailable}
	for name, test := range map[string]struct {
		failures []failure
		outcome  core.LeaseOutcome
		written  bool
	}{
		"write took effect":                     {[]failure{lostResponse}, core.LeaseApplied, true},
		"write did not take effect":             {[]failure{unknownResult}, core.LeaseApplied, true},
		"store refuses":                         {[]failure{refused}, core.LeaseRefused, false},
		"store refuses after an unknown result": {append([]failure{unknownResult}, repeatFailure(refused, 20)...), core.LeaseUnknown, false},
		"conflicts":                             {repeatFailure(failure{err: core.ErrConflict}, 3), core.LeaseApplied, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegion(12)
			r.join(t, "a", "b")
			before := r.document(t)
			object := core.ShiftObject("bookings", "luzon", "visayas")
			owned := before.Objects[object]
			set := before.Members[owned.Host].Grantors[:2]
			r.store.failures = test.failures
			reply := r.steers[owned.Host].Change(context.Background(), core.LeaseChange{
				Grantors: set, GrantorsFrom: before.Members[owned.Host].GrantorsFrom, Host: owned.Host, Incarnation: owned.Incarnation,
				Leaving: true, Release: map[string]int64{object: owned.Since},
			})
			assert.Equal(t, reply.Outcome, test.outcome)
			after := r.document(t)
			assert.Equal(t, after.Objects[object] != owned, test.written)
			if test.written {
				assert.Equal(t, after.Epoch, before.Epoch+1)
				assert.Assert(t, !after.Objects[object].Revoked)
				assert.DeepEqual(t, after.Members[owned.Host], core.Member{
					Grantors: set, GrantorsFrom: after.Epoch, Host: owned.Host, Incarnation: owned.Incarnation, Leaving: true,
				})
			}
		})
	}
}

func repeatFailure(f failure, n int) []failure {
	all := make([]failure, n)
	for i := range all {
		all[i] = f
	}
	return all
}

// TestRepeatedReleaseKeepsNewOwnership guards against a repeated release request that removes an object from an owner
// that has regained it in the meantime.
func TestRepeatedReleaseKeepsNewOwnership(t *testing.T) {
	r := newRegion(4)
	r.join(t, "a", "b")
	object := core.ShiftObject("bookings", "luzon", "visayas")
	owned := r.document(t).Objects[object]
	release := core.LeaseChange{Host: owned.Host, Incarnation: owned.Incarnation, Release: map[string]int64{object: owned.Since}}
	assert.Equal(t, r.steers[owned.Host].Change(context.Background(), release).Outcome, core.LeaseApplied)
	next := r.document(t).Objects[object]
	secondRelease := core.LeaseChange{Host: next.Host, Incarnation: next.Incarnation, Release: map[string]int64{object: next.Since}}
	assert.Equal(t, r.steers[next.Host].Change(context.Background(), secondRelease).Outcome, core.LeaseApplied)
	regained := r.document(t).Objects[object]
	assert.Equal(t, r.steers[owned.Host].Change(context.Background(), release).Outcome, core.LeaseApplied)
	assert.DeepEqual(t, r.document(t).Objects[object], regained)
}

// TestConfirmNeedsCurrentMembership guards against confirming an incarnation that is not listed, such as a removed one,
// and a member that was listed again and has seen only a document from before its current entry: it could use objects
// that it has lost.
func TestConfirmNeedsCurrentMembership(t *testing.T) {
	r := newRegion(4)
	r.join(t, "a", "b")
	from := r.document(t).Members["a"].GrantorsFrom
	for name, test := range map[string]struct {
		renew core.LeaseRenew
		want  bool
	}{
		"present":           {core.LeaseRenew{Epoch: from, Host: "a", Incarnation: "a1", Region: "luzon"}, true},
		"older document":    {core.LeaseRenew{Epoch: from - 1, Host: "a", Incarnation: "a1", Region: "luzon"}, false},
		"other incarnation": {core.LeaseRenew{Epoch: from, Host: "a", Incarnation: "a0", Region: "luzon"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, r.steers["a"].Confirm(context.Background(), test.renew).Confirmed, test.want)
		})
	}
}

// TestRestartOfAllProcesses guards against a region that stays without owners after all its processes were restarted at
// the same time, and against removing an old member while its grantors may still confirm it.
func TestRestartOfAllProcesses(t *testing.T) {
	for name, n := range map[string]int{"no grantor": 1, "one grantor": 2, "two grantors": 3, "three grantors": 4} {
		t.Run(name, func(t *testing.T) {
			r := newRegionOf(4, hosts[:n])
			for _, h := range r.hosts {
				r.join(t, h.Host)
			}
			old := r.document(t).Members["a"]
			_, needed := core.LeaseQuorum(len(old.Grantors))
			steer := r.steer("a")
			join := func() error { return steer.Join(context.Background(), "a2") }
			wait := core.LeaseTerm + core.ClockDriftMargin
			for _, g := range old.Grantors[:needed] {
				r.clock.now = r.clock.now.Add(time.Minute)
				assert.ErrorIs(t, join(), owner.ErrOlderIncarnation, "host %s is not replaced", g.Host)
				r.register(t, g.Host)
			}
			assert.ErrorIs(t, join(), owner.ErrOlderIncarnation)
			r.clock.now = r.clock.now.Add(wait - 1)
			assert.ErrorIs(t, join(), owner.ErrOlderIncarnation)
			r.clock.now++
			assert.NilError(t, join())
			r.register(t, "a")
			for _, h := range r.hosts[1:] {
				r.register(t, h.Host)
				steer := r.steer(h.Host)
				for range 3 {
					_ = steer.Join(context.Background(), h.Host+"2")
					r.clock.now = r.clock.now.Add(wait)
				}
			}
			d := r.document(t)
			assert.Equal(t, len(d.Members), n)
			for name, o := range d.Objects {
				assert.Assert(t, o.Revoked && o.Incarnation == o.Host+"2", name)
			}
		})
	}
}

// register stores a newer incarnation of host.
func (r *region) register(t *testing.T, host string) {
	t.Helper()
	value, err := json.Marshal(core.Host{Host: host, Incarnation: host + "2"})
	assert.NilError(t, err)
	_, err = r.store.Put(context.Background(), core.KeyHostsPrefix+host, value, r.store.objects[core.KeyHostsPrefix+host].Version)
	assert.NilError(t, err)
}

// TestEvict guards against members that an operator cannot remove after all their grantors have died, and against new
// owners of their objects that do not wait.
func TestEvict(t *testing.T) {
	r := newRegion(4)
	r.join(t, "a", "b", "c")
	survivor := r.document(t).Members["c"]
	assert.Equal(t, r.steers["c"].Evict(context.Background(), "a", "b", "x").Outcome, core.LeaseApplied)
	d := r.document(t)
	assert.Equal(t, len(d.Members), 1)
	assert.DeepEqual(t, d.Members["c"], survivor)
	for name, o := range d.Objects {
		assert.Assert(t, o.Host == "c" && o.Revoked == (o.Since == d.Epoch), name)
	}
	assert.Equal(t, r.steers["c"].Evict(context.Background(), "a").Epoch, d.Epoch, "a repeated request writes again")
}

// TestGoneMembersAreRemoved guards against keeping members that the settings list as gone, and against removing one
// that is still live.
func TestGoneMembersAreRemoved(t *testing.T) {
	r := newRegion(4)
	r.join(t, "a", "b", "c")
	r.source.Settings.Drains.Gone = []string{"b", "c"}
	r.liveHosts = slices.DeleteFunc(slices.Clone(r.liveHosts), func(h core.Host) bool { return h.Host == "c" })
	// The steer of c may have written the newest document, which the steer of a has not read yet.
	assert.NilError(t, r.steers["a"].Refresh(context.Background()))
	r.steers["a"].Tick(context.Background())
	members := r.document(t).Members
	_, b := members["b"]
	_, c := members["c"]
	assert.Assert(t, b && !c, "%v", members)
}
