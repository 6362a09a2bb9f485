package owner_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// threeRegions returns the hosts of three regions, each with two zones of two hosts.
func threeRegions() hostList {
	var all hostList
	for _, region := range []string{"luzon", "mindanao", "visayas"} {
		for n := range 4 {
			name := fmt.Sprintf("%s-%d", region, n)
			all = append(all, core.Host{
				Host: name, Incarnation: name + "1", Region: region, State: core.HostReady, Zone: fmt.Sprintf("%s%d", region, n%2),
			})
		}
	}
	return all
}

// TestChoiceOfGrantors guards against two grantors in a zone or remote region that can be lost together, against two
// remote grantors, which remove the members of a region that loses contact with theirs, and against a set that depends
// on the order of the hosts.
func TestChoiceOfGrantors(t *testing.T) {
	all := threeRegions()
	own := all[:4]
	for name, test := range map[string]struct {
		hosts, liveHosts hostList
		want             []string
	}{
		"all places":            {all, all, []string{"luzon/other zone", "luzon", "mindanao"}},
		"next region suspected": {all, append(slices.Clone(own), all[8:]...), []string{"luzon/other zone", "luzon", "visayas"}},
		"own region alone":      {own, own, []string{"luzon/other zone", "luzon", "luzon"}},
		"own zone only":         {append(hostList{own[0], own[2]}, all[4:]...), all, []string{"luzon", "mindanao"}},
		"alone in the region":   {append(hostList{own[0]}, all[4:]...), all, []string{"mindanao", "other", "other"}},
		"suspected fill up":     {own, own[:2], []string{"luzon/other zone", "luzon", "luzon"}},
		"two hosts":             {own[:2], own, []string{"luzon/other zone"}},
		"one host":              {own[:1], own, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegionOf(0, test.hosts)
			r.liveHosts = test.liveHosts
			r.steers[own[0].Host].SetLocalIncarnation(own[0].Incarnation)
			r.steers[own[0].Host].Tick(context.Background())
			got := r.document(t).Members[own[0].Host].Grantors
			assert.Equal(t, len(got), len(test.want), "%v", got)
			for i, g := range got {
				h := test.hosts[slices.IndexFunc(test.hosts, func(h core.Host) bool { return h.Host == g.Host })]
				place := h.Region
				if test.want[i] == "luzon/other zone" {
					place += "/other zone"
					assert.Assert(t, h.Zone != own[0].Zone)
				}
				if test.want[i] != "other" {
					assert.Equal(t, place, test.want[i])
				}
			}
			reversed := slices.Clone(r.hosts)
			slices.Reverse(reversed)
			again := newRegionOf(0, reversed)
			again.liveHosts = test.liveHosts
			again.steers[own[0].Host].SetLocalIncarnation(own[0].Incarnation)
			again.steers[own[0].Host].Tick(context.Background())
			assert.DeepEqual(t, again.document(t).Members[own[0].Host].Grantors, got)
		})
	}
}

// TestOneGrantorInAnotherZone guards against two of three grantors in the same other zone. The loss of that zone during
// a store outage ended the leases of live members, and zones that lost contact with each other removed each other's
// members.
func TestOneGrantorInAnotherZone(t *testing.T) {
	all := threeRegions()
	for _, self := range all[:4] {
		r := newRegionOf(0, all)
		r.steers[self.Host].SetLocalIncarnation(self.Incarnation)
		r.steers[self.Host].Tick(context.Background())
		places := map[string]int{}
		for _, g := range r.document(t).Members[self.Host].Grantors {
			h := all[slices.IndexFunc(all, func(h core.Host) bool { return h.Host == g.Host })]
			places[h.Zone]++
		}
		assert.Equal(t, len(places), 3, "%s: %v", self.Host, places)
	}
}

// TestAdviceOfGrantors guards against keeping a set with a lost, replaced or withdrawn grantor, which may be unable to
// confirm or revoke, and against a change during a store outage: the member would stop counting its current set.
func TestAdviceOfGrantors(t *testing.T) {
	wait := func(r *region, d time.Duration) {
		r.steers["a"].Tick(context.Background())
		r.clock.now = r.clock.now.Add(d)
	}
	withdraw := func(r *region, m core.Member, from int64) {
		w := core.LeaseWithdrawn{Grantor: m.Grantors[1], GrantorsFrom: from, Host: "a", Incarnation: "a1", Region: "luzon"}
		payload, _ := msgpack.Marshal(w)
		r.steers["a"].HandleWithdrawn("", payload)
	}
	without := func(l hostList, name string) hostList {
		return slices.DeleteFunc(slices.Clone(l), func(h core.Host) bool { return h.Host == name })
	}
	for name, test := range map[string]struct {
		change func(r *region, m core.Member)
		want   bool
	}{
		"nothing": {func(*region, core.Member) {}, false},
		"suspected briefly": {func(r *region, m core.Member) {
			r.liveHosts = without(r.liveHosts, m.Grantors[0].Host)
			wait(r, 9*time.Second)
		}, false},
		"suspected for long": {func(r *region, m core.Member) {
			r.liveHosts = without(r.liveHosts, m.Grantors[0].Host)
			wait(r, 10*time.Second)
		}, true},
		"no registration for long": {func(r *region, m core.Member) {
			r.hosts = without(r.hosts, m.Grantors[0].Host)
			r.liveHosts = r.hosts
			wait(r, 10*time.Second)
		}, true},
		"newer incarnation": {func(r *region, m core.Member) {
			r.hosts = slices.Clone(r.hosts)
			i := slices.IndexFunc(r.hosts, func(h core.Host) bool { return h.Host == m.Grantors[0].Host })
			r.hosts[i].Incarnation = "x2"
			r.liveHosts = r.hosts
		}, true},
		"withdrawn":                    {func(r *region, m core.Member) { withdraw(r, m, m.GrantorsFrom) }, true},
		"withdrawn from older set":     {func(r *region, m core.Member) { withdraw(r, m, m.GrantorsFrom-1) }, false},
		"withdrawn, store unavailable": {func(r *region, m core.Member) { withdraw(r, m, m.GrantorsFrom); r.store.down = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegionOf(0, append(slices.Clone(hosts), core.Host{Host: "e", Incarnation: "e1", Region: "luzon", State: core.HostReady, Zone: "l2"}))
			r.join(t, "a", "b", "c", "d", "e")
			r.steers["a"].SetLocalIncarnation("a1")
			assert.NilError(t, r.steers["a"].Refresh(context.Background()))
			wait(r, 0)
			assert.Equal(t, len(r.advice.Grantors), 0)
			m := r.document(t).Members["a"]
			test.change(r, m)
			r.steers["a"].Tick(context.Background())
			assert.Equal(t, len(r.advice.Grantors) > 0, test.want, "%v", r.advice)
			if !test.want {
				return
			}
			assert.Equal(t, len(r.advice.Grantors), core.MaxGrantors)
			c := core.LeaseChange{Grantors: r.advice.Grantors, GrantorsFrom: r.advice.GrantorsFrom, Host: "a", Incarnation: "a1"}
			for range 2 {
				assert.Equal(t, r.steers["a"].Change(context.Background(), c).Outcome, core.LeaseApplied)
				assert.Equal(t, r.document(t).Members["a"].GrantorsFrom, r.document(t).Epoch, "a repeated request writes again")
			}
			r.advice = core.LeaseAdvice{}
			r.steers["a"].Tick(context.Background())
			assert.Equal(t, len(r.advice.Grantors), 0, "the advice is repeated after the change")
		})
	}
}
