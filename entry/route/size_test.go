package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/lease"
	"ebonyrouter.dev/entry/route"
)

// Size of the region that the design has to support: its hosts, the targets of each host, and the neighbours to which a
// host has links.
const (
	regionHosts    = 138
	targetsPerHost = 4
	neighbours     = 16
)

// hostList is a fixed list of hosts.
type hostList []core.Host

func (l hostList) Hosts() []core.Host { return l }

// sizedRouter returns the router of host h000, which has no free slot, in a region of that size.
func sizedRouter() (*fixture, *lease.Holder, *route.Router) {
	f, _ := newFixture()
	f.dead = map[string]bool{}
	f.snapshot = &core.Snapshot{RegionOf: map[string]string{"z1": "r1"}, Settings: core.Settings{}}
	document := core.Ownership{Epoch: 1, Objects: map[string]core.ObjectOwner{}, Region: "r1"}
	targets := map[string]core.TargetSettings{}
	var hosts hostList
	for h := range regionHosts {
		name := fmt.Sprintf("h%03d", h)
		hosts = append(hosts, core.Host{Host: name, Incarnation: "i", LinkAddress: name, Region: "r1", State: core.HostReady, Zone: "z1"})
		f.dead[name] = h > neighbours
		for n := range targetsPerHost {
			target := fmt.Sprintf("t%03d-%d", h, n)
			targets[target] = core.TargetSettings{Zone: "z1"}
			document.Objects[core.TargetObject("s", target)] = core.ObjectOwner{Host: name, Incarnation: "i", Since: 1}
		}
	}
	f.snapshot.Settings.Services = map[string]core.ServiceSettings{"s": {Targets: targets}}
	holder := lease.NewHolder("h000", "r1", "i", "", f, f, hosts)
	holder.SetOwnership(document)
	r := route.New(route.Config{
		Host: "h000", Links: f, Load: f, Ownership: holder, Region: "r1", Settings: f, Timer: f, Zone: "z1",
	})
	for _, h := range hosts[1 : neighbours+1] {
		r.Update(report(h.Host, "r1", 0, 20))
	}
	return f, holder, r
}

// Guards against a choice among outdated owners: a dead link must not be used at all, and a new owner or a new link must be
// found within 50 ms.
func TestOwnersFollowChanges(t *testing.T) {
	const other = "h100"
	request := core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}}
	for name, test := range map[string]struct {
		change func(*fixture, *lease.Holder)
		after  time.Duration
		want   string
	}{
		"link lost": {
			change: func(f *fixture, _ *lease.Holder) { f.dead["h001"] = true },
			want:   "",
		},
		"link opened": {
			change: func(f *fixture, _ *lease.Holder) { f.dead["h001"], f.dead[other] = true, false },
			after:  50 * time.Millisecond,
			want:   other,
		},
		"owner replaced": {
			change: func(f *fixture, h *lease.Holder) {
				f.dead["h001"], f.dead[other] = true, false
				h.SetOwnership(core.Ownership{Epoch: 2, Region: "r1", Objects: map[string]core.ObjectOwner{
					core.TargetObject("s", "t000-1"): {Host: other, Incarnation: "i", Since: 2},
				}})
			},
			want: other,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, holder, r := sizedRouter()
			for _, host := range []string{"h001", other} {
				r.Update(core.LoadReport{Host: host, Region: "r1", Sequence: 2, Services: map[string]core.ServiceLoad{"s": {FreeSlots: 3, Slots: 4}}})
			}
			hop, err := r.Route(request)
			assert.NilError(t, err)
			assert.Equal(t, hop.Peer.Host, "h001")
			test.change(f, holder)
			f.now = f.now.Add(test.after)
			hop, err = r.Route(request)
			assert.NilError(t, err)
			assert.Assert(t, hop.Peer.Host != "h001")
			if test.want != "" {
				assert.Equal(t, hop.Peer.Host, test.want)
			}
		})
	}
}

// BenchmarkRegion measures the choice of a hop in a large region for a request that finds no free local slot.
func BenchmarkRegion(b *testing.B) {
	_, _, r := sizedRouter()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = r.Route(core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}})
	}
}
