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

// region is a store with the steers of all hosts.
type region struct {
	advice core.LeaseAdvice
	clock  *clock
	heard  hostList
	hosts  hostList
	source *snapshot
	steers map[string]*owner.Documents
	store  *memory
}

func newRegion(targets int) *region {
	return newRegionOf(targets, hosts)
}

func newRegionOf(targets int, known hostList) *region {
	r := &region{
		clock: &clock{}, heard: known, hosts: known, source: settings(targets), steers: map[string]*owner.Documents{}, store: &memory{},
	}
	for _, h := range known {
		r.steers[h.Host] = r.steer(h.Host)
	}
	return r
}

func (r *region) steer(host string) *owner.Documents {
	ids := 0
	return owner.New(host, "luzon", r.store, r.clock, r.source, view{&r.hosts}, owner.WithBackoff(func(int) time.Duration { return 0 }),
		owner.WithAdvice(func(a core.LeaseAdvice) { r.advice = a }), owner.WithHeard(view{&r.heard}),
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

// join adds hosts and completes the balance.
func (r *region) join(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		assert.NilError(t, r.steers[name].Join(context.Background(), name+"1"))
		r.settle(t)
	}
}

// settle lets all members follow the advice of their steers until there is none.
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
	t.Fatal("the advice does not end")
}

func zones() map[string]string {
	z := map[string]string{}
	for _, h := range hosts {
		z[h.Host] = h.Zone
	}
	return z
}

// counts returns the number of targets of each owner.
func counts(d core.Ownership) map[string]int {
	n := map[string]int{}
	for name, o := range d.Objects {
		if name[:6] == "target" {
			n[o.Host]++
		}
	}
	return n
}

// Guards against objects without an owner or an unbalanced assignment after joins.
func TestJoinsBalance(t *testing.T) {
	r := newRegion(12)
	r.join(t, "a", "b", "c", "d")
	d := r.document(t)
	assert.DeepEqual(t, counts(d), map[string]int{"a": 3, "b": 3, "c": 3, "d": 3})
	for name, m := range d.Members {
		assert.Equal(t, len(m.Grantors), core.MaxGrantors, name)
	}
	_, far := d.Objects[core.TargetObject("bookings", "far")]
	assert.Assert(t, !far, "a target of another region has an owner here")
	for _, o := range []string{core.ShiftObject("bookings", "luzon", "visayas")} {
		assert.Assert(t, d.Objects[o].Host != "", o)
	}
}

// revocation returns the request to remove a member from which the first n of its grantors have withdrawn.
func (r *region) revocation(t *testing.T, host string, n int) core.MemberRevoke {
	t.Helper()
	m := r.document(t).Members[host]
	return core.MemberRevoke{
		GrantorsFrom: m.GrantorsFrom, Host: host, Incarnation: m.Incarnation, Region: "luzon", Withdrawn: m.Grantors[:n],
	}
}

// Guards against a revocation by too few grantors, by others than those of the present set, or of another set: their
// confirmations may still be valid or still be given.
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

// Guards against moves that a revocation does not need, against revoked objects that count as released, against other
// members' sets that change with it, and against a steer that cannot revoke a member of another region.
func TestRevokeMovesOnlyItsObjects(t *testing.T) {
	for _, by := range []string{"luzon", "visayas"} {
		t.Run(by, func(t *testing.T) {
			r := newRegion(12)
			r.join(t, "a", "b", "c", "d")
			before := r.document(t)
			var told core.Ownership
			steer := owner.New("x", by, r.store, r.clock, r.source, hosts, owner.WithOnChange(func(d core.Ownership, _ bool) { told = d }))
			revoke := r.revocation(t, "c", 2)
			assert.Equal(t, steer.Revoke(context.Background(), revoke).Outcome, core.LeaseApplied)
			after := r.document(t)
			assert.DeepEqual(t, told, after)
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

// Guards against a lost answer that is taken for a failure, a write made twice, and a refusal while the write may
// still take effect.
func TestLostAnswers(t *testing.T) {
	uncertain := failure{err: core.ErrUncertain}
	landed := failure{err: core.ErrUncertain, lost: true}
	refused := failure{err: core.ErrUnavailable}
	for name, test := range map[string]struct {
		failures []failure
		outcome  core.LeaseOutcome
		written  bool
	}{
		"write took effect":               {[]failure{landed}, core.LeaseApplied, true},
		"write did not take effect":       {[]failure{uncertain}, core.LeaseApplied, true},
		"store refuses":                   {[]failure{refused}, core.LeaseRefused, false},
		"store refuses after lost answer": {append([]failure{uncertain}, many(refused, 20)...), core.LeaseUnknown, false},
		"conflicts":                       {many(failure{err: core.ErrConflict}, 3), core.LeaseApplied, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegion(12)
			r.join(t, "a", "b")
			before := r.document(t)
			object := core.ShiftObject("bookings", "luzon", "visayas")
			held := before.Objects[object]
			set := before.Members[held.Host].Grantors[:2]
			r.store.failures = test.failures
			reply := r.steers[held.Host].Change(context.Background(), core.LeaseChange{
				Grantors: set, GrantorsFrom: before.Members[held.Host].GrantorsFrom, Host: held.Host, Incarnation: held.Incarnation,
				Leaving: true, Release: map[string]int64{object: held.Since},
			})
			assert.Equal(t, reply.Outcome, test.outcome)
			after := r.document(t)
			assert.Equal(t, after.Objects[object] != held, test.written)
			if test.written {
				assert.Equal(t, after.Epoch, before.Epoch+1)
				assert.Assert(t, !after.Objects[object].Revoked)
				assert.DeepEqual(t, after.Members[held.Host], core.Member{
					Grantors: set, GrantorsFrom: after.Epoch, Host: held.Host, Incarnation: held.Incarnation, Leaving: true,
				})
			}
		})
	}
}

func many(f failure, n int) []failure {
	all := make([]failure, n)
	for i := range all {
		all[i] = f
	}
	return all
}

// Guards against a repeated release that takes away an object which its owner got back in the meantime.
func TestRepeatedReleaseKeepsNewOwnership(t *testing.T) {
	r := newRegion(4)
	r.join(t, "a", "b")
	object := core.ShiftObject("bookings", "luzon", "visayas")
	held := r.document(t).Objects[object]
	release := core.LeaseChange{Host: held.Host, Incarnation: held.Incarnation, Release: map[string]int64{object: held.Since}}
	assert.Equal(t, r.steers[held.Host].Change(context.Background(), release).Outcome, core.LeaseApplied)
	next := r.document(t).Objects[object]
	back := core.LeaseChange{Host: next.Host, Incarnation: next.Incarnation, Release: map[string]int64{object: next.Since}}
	assert.Equal(t, r.steers[next.Host].Change(context.Background(), back).Outcome, core.LeaseApplied)
	again := r.document(t).Objects[object]
	assert.Equal(t, r.steers[held.Host].Change(context.Background(), release).Outcome, core.LeaseApplied)
	assert.DeepEqual(t, r.document(t).Objects[object], again)
}

// Guards against a confirmation that a relisted incarnation gets while it knows only a document of its earlier
// membership, and against one for a removed incarnation.
func TestConfirmNeedsPresentMembership(t *testing.T) {
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

// Guards against a region that stays without owners after all its processes were restarted at once, and against an old
// member that is removed while its grantors may still confirm it.
func TestRestartOfAll(t *testing.T) {
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

func (r *region) register(t *testing.T, host string) {
	t.Helper()
	value, err := json.Marshal(core.Host{Host: host, Incarnation: host + "2"})
	assert.NilError(t, err)
	_, err = r.store.Put(context.Background(), core.KeyHostsPrefix+host, value, r.store.objects[core.KeyHostsPrefix+host].Version)
	assert.NilError(t, err)
}

// Guards against members whose grantors have all died that an operator cannot remove, and against their objects being
// handed on without a wait.
func TestEvict(t *testing.T) {
	r := newRegion(4)
	r.join(t, "a", "b", "c")
	kept := r.document(t).Members["c"]
	assert.Equal(t, r.steers["c"].Evict(context.Background(), "a", "b", "x").Outcome, core.LeaseApplied)
	d := r.document(t)
	assert.Equal(t, len(d.Members), 1)
	assert.DeepEqual(t, d.Members["c"], kept)
	for name, o := range d.Objects {
		assert.Assert(t, o.Host == "c" && o.Revoked == (o.Since == d.Epoch), name)
	}
	assert.Equal(t, r.steers["c"].Evict(context.Background(), "a").Epoch, d.Epoch, "a repeated request writes again")
}

// Guards against members that operators name as gone in the settings and that stay, and against removing a member that
// is heard from.
func TestGoneMembersAreRemoved(t *testing.T) {
	r := newRegion(4)
	r.join(t, "a", "b", "c")
	r.source.Settings.Drains.Gone = []string{"b", "c"}
	r.heard = slices.DeleteFunc(slices.Clone(r.heard), func(h core.Host) bool { return h.Host == "c" })
	// The member c may have written the newest document, which the steer of a has not seen yet.
	assert.NilError(t, r.steers["a"].Refresh(context.Background()))
	r.steers["a"].Tick(context.Background())
	members := r.document(t).Members
	_, b := members["b"]
	_, c := members["c"]
	assert.Assert(t, b && !c, "%v", members)
}
