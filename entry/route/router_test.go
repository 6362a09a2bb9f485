package route_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/entry/route"
)

// fakeWorld is everything that a Router of host h1 in zone z1 of region r1 sees.
type fakeWorld struct {
	core.Links
	core.Timer
	dead     map[string]bool
	draining string
	local    core.ServiceLoad
	now      core.Instant
	snapshot *core.Snapshot
	stamp    atomic.Int64
	steady   bool
}

func (f *fakeWorld) Alive(address string) bool { return !f.dead[address] }

func (f *fakeWorld) Current() *core.Snapshot { return f.snapshot }

func (f *fakeWorld) Now() core.Instant { return f.now }

func (f *fakeWorld) Owner(_, object string) (core.Host, bool) {
	owners := map[string]core.Host{
		"target/s/t1":   {Host: "h1", Zone: "z1", LinkAddress: "h1"},
		"target/s/t2":   {Host: "h2", Zone: "z1", LinkAddress: "h2"},
		"target/s/t3":   {Host: "h3", Zone: "z2", LinkAddress: "h3"},
		"target/s/t4":   {Host: "h4", Zone: "z2", LinkAddress: "h4"},
		"target/s/t5":   {Host: "h5", Zone: "z5", LinkAddress: "h5"},
		"shift/s/r1/r2": {Host: "h3", Zone: "z2", LinkAddress: "h3"},
	}
	host, ok := owners[object]
	if host.Host == f.draining {
		host.State = core.HostDraining
	}
	return host, ok
}

// Stamp differs at each call, so that changes of the world are seen at once, unless the world is steady.
func (f *fakeWorld) Stamp(string) core.OwnershipStamp {
	if f.steady {
		return core.OwnershipStamp{Epoch: 1}
	}
	return core.OwnershipStamp{Epoch: f.stamp.Add(1)}
}

func (f *fakeWorld) ServiceLoad(string) core.ServiceLoad { return f.local }

func newWorld() (*fakeWorld, *route.Router) {
	f := &fakeWorld{dead: map[string]bool{}, local: core.ServiceLoad{Slots: 4, WaitMs: 50}, now: core.Instant(time.Hour)}
	f.shift(0)
	return f, route.New(route.Config{
		Host: "h1", Links: f, Load: f, Ownership: f, Region: "r1", Settings: f, Timer: f, Zone: "z1",
	})
}

// shift puts settings with the given deliberate share in force.
func (f *fakeWorld) shift(percent int64) {
	f.snapshot = &core.Snapshot{
		RegionOf: map[string]string{"z1": "r1", "z2": "r1", "z5": "r2"},
		Settings: core.Settings{
			Services: map[string]core.ServiceSettings{"s": {Targets: map[string]core.TargetSettings{
				"t1": {Zone: "z1"}, "t2": {Zone: "z1"}, "t3": {Zone: "z2"}, "t4": {Zone: "z2"}, "t5": {Zone: "z5"},
			}}},
			Shifts: []core.ShiftSettings{{From: "r1", To: "r2", Service: "s", RequestsPerSecond: 10, Percent: percent}},
		},
	}
}

// far puts the other region 100 ms away, which makes every queue of the tests shorter than the round trip there.
func (f *fakeWorld) far() {
	f.snapshot.Settings.Links = []core.LinkSettings{{From: "r1", To: "r2", OneWayMs: 100}}
}

func report(host, region string, free int, waitMs int64) core.LoadReport {
	zone := map[string]string{"r1": "z1", "r2": "z5"}[region]
	return core.LoadReport{Host: host, Region: region, Sequence: 1, Zone: zone, Services: map[string]core.ServiceLoad{
		"s": {FreeSlots: free, Slots: 4, WaitMs: waitMs},
	}}
}

func TestRoute(t *testing.T) {
	request := core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}}
	tests := map[string]struct {
		failure string
		edit    func(*fakeWorld, *core.RouteRequest)
		reports []core.LoadReport
		kind    core.HopKind
		host    string
		code    codes.Code
	}{
		"local first": {
			failure: "a hop that a free local slot makes needless",
			edit:    func(f *fakeWorld, _ *core.RouteRequest) { f.local.FreeSlots = 1 },
			reports: []core.LoadReport{report("h2", "r1", 4, 0)},
			kind:    core.HopLocal,
		},
		"own zone before region": {
			failure: "a hop between zones while the own zone has free slots",
			reports: []core.LoadReport{report("h2", "r1", 1, 0), report("h3", "r1", 4, 0)},
			kind:    core.HopOwner, host: "h2",
		},
		"most free of the region": {
			failure: "a choice that ignores the reports",
			reports: []core.LoadReport{report("h2", "r1", 0, 9), report("h3", "r1", 1, 0), report("h4", "r1", 3, 0)},
			kind:    core.HopOwner, host: "h4",
		},
		"old report": {
			failure: "an old report that counts as free capacity",
			edit: func(f *fakeWorld, _ *core.RouteRequest) {
				f.now = f.now.Add(7 * time.Second)
				f.far()
			},
			reports: []core.LoadReport{report("h2", "r1", 4, 0)},
			kind:    core.HopLocal,
		},
		"dead link": {
			failure: "a request sent to a peer that is not heard from",
			edit:    func(f *fakeWorld, _ *core.RouteRequest) { f.dead["h2"] = true },
			reports: []core.LoadReport{report("h2", "r1", 4, 0), report("h3", "r1", 1, 0)},
			kind:    core.HopOwner, host: "h3",
		},
		"draining peer": {
			failure: "new work for a host that is about to leave while others are free",
			edit:    func(f *fakeWorld, _ *core.RouteRequest) { f.draining = "h2" },
			reports: []core.LoadReport{report("h2", "r1", 4, 0), report("h3", "r1", 1, 0)},
			kind:    core.HopOwner, host: "h3",
		},
		"least wait": {
			failure: "a queue without information that is preferred to a known one",
			edit: func(f *fakeWorld, _ *core.RouteRequest) {
				f.local = core.ServiceLoad{}
				f.far()
			},
			reports: []core.LoadReport{report("h2", "r1", 0, 90), report("h3", "r1", 0, 20)},
			kind:    core.HopOwner, host: "h3",
		},
		"queue of a draining peer": {
			failure: "a request that waits at a host that is about to leave",
			edit: func(f *fakeWorld, _ *core.RouteRequest) {
				f.local = core.ServiceLoad{}
				f.draining = "h3"
				f.far()
			},
			reports: []core.LoadReport{report("h2", "r1", 0, 90), report("h3", "r1", 0, 20), report("h4", "r1", 0, 95)},
			kind:    core.HopOwner, host: "h2",
		},
		"spill over": {
			failure: "queueing while another region has spare slots under a cap",
			reports: []core.LoadReport{
				report("h2", "r1", 0, 9), report("h3", "r1", 0, 9), report("h4", "r1", 0, 9), report("h5", "r2", 2, 0),
			},
			kind: core.HopGateway, host: "h3",
		},
		"spill without reports": {
			failure: "queueing at a host that is no gateway and hears nothing from the other region",
			reports: []core.LoadReport{report("h2", "r1", 0, 90), report("h3", "r1", 0, 90), report("h4", "r1", 0, 90)},
			kind:    core.HopGateway, host: "h3",
		},
		"no spill for a short wait": {
			failure: "a trip to another region that takes longer than the queue",
			edit:    func(f *fakeWorld, _ *core.RouteRequest) { f.far() },
			reports: []core.LoadReport{report("h2", "r1", 0, 90), report("h5", "r2", 4, 0)},
			kind:    core.HopLocal,
		},
		"no spill into the reserve": {
			failure: "a trip to another region that ends with a rejection, because its free slots are reserved",
			edit: func(f *fakeWorld, _ *core.RouteRequest) {
				f.snapshot.Policies = map[string]map[string]core.EffectivePolicy{"s": {"z5": {ShiftReservePercent: 50}}}
			},
			reports: []core.LoadReport{
				report("h2", "r1", 0, 9), report("h3", "r1", 0, 9), report("h4", "r1", 0, 9), report("h5", "r2", 2, 0),
			},
			kind: core.HopOwner, host: "h2",
		},
		"no spill of remote requests": {
			failure: "a request that goes round between regions",
			edit:    func(_ *fakeWorld, q *core.RouteRequest) { q.FromRegion = "r3" },
			reports: []core.LoadReport{report("h2", "r1", 0, 9), report("h5", "r2", 2, 0)},
			kind:    core.HopOwner, host: "h2",
		},
		"gateway chooses owner": {
			failure: "a gateway that sends a request back into its own region",
			edit: func(f *fakeWorld, q *core.RouteRequest) {
				q.ToRegion = "r2"
				f.local.FreeSlots = 1
			},
			reports: []core.LoadReport{report("h5", "r2", 2, 0)},
			kind:    core.HopOwner, host: "h5",
		},
		"gateway without information": {
			failure: "a missing report of the destination that counts as free capacity",
			edit:    func(_ *fakeWorld, q *core.RouteRequest) { q.ToRegion = "r2" },
			code:    codes.NoPermittedTarget,
		},
		"deliberate share": {
			failure: "a configured percent that has no effect while local slots are free",
			edit: func(f *fakeWorld, _ *core.RouteRequest) {
				f.shift(100)
				f.local.FreeSlots = 1
			},
			kind: core.HopGateway, host: "h3",
		},
		"tried hosts": {
			failure: "a second attempt at a host that rejected the request",
			edit: func(f *fakeWorld, q *core.RouteRequest) {
				f.local.FreeSlots = 1
				q.TriedHosts = []string{"h1", "h2", "h3", "h4"}
			},
			code: codes.NoPermittedTarget,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.failure)
			f, r := newWorld()
			for _, one := range test.reports {
				r.Update(one)
			}
			request := request
			if test.edit != nil {
				test.edit(f, &request)
			}
			hop, err := r.Route(request)
			var rejected *core.RejectedError
			if test.code != 0 {
				assert.Assert(t, errors.As(err, &rejected))
				assert.Equal(t, rejected.Code, test.code)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, hop.Kind, test.kind)
			assert.Equal(t, hop.Peer.Host, test.host)
		})
	}
}

// Guards against herding on the peer of the newest report: own requests since then count against it.
func TestOwnRequestsReduceReportedSlots(t *testing.T) {
	_, r := newWorld()
	r.Update(report("h3", "r1", 3, 0))
	r.Update(report("h4", "r1", 3, 0))
	sent := map[string]int{}
	for range 6 {
		hop, err := r.Route(core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}})
		assert.NilError(t, err)
		sent[hop.Peer.Host]++
	}
	assert.DeepEqual(t, sent, map[string]int{"h3": 3, "h4": 3})
}

// Guards against a choice by an old report although a response has told the load since, and against malformed loads.
func TestLoadOfResponses(t *testing.T) {
	_, r := newWorld()
	r.Update(report("h3", "r1", 0, 90))
	r.Update(report("h4", "r1", 2, 0))
	for host, value := range map[string]string{"h3": "2 0 4 0", "h4": "0 3 4 40"} {
		load, err := core.ParseLoad(value)
		assert.NilError(t, err)
		assert.Equal(t, core.FormatLoad(load), value)
		r.UpdateService(core.Host{Host: host, Region: "r1"}, "s", load)
	}
	hop, err := r.Route(core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}})
	assert.NilError(t, err)
	assert.Equal(t, hop.Peer.Host, "h3")
	for _, value := range []string{"", "1 2 3", "-1 0 4 0", "a b c d"} {
		_, err := core.ParseLoad(value)
		assert.ErrorContains(t, err, "malformed")
	}
}

// Guards against allocation on the local choice, which is on the path of most requests.
func TestLocalChoiceDoesNotAllocate(t *testing.T) {
	f, r := newWorld()
	f.local.FreeSlots = 1
	request := core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}}
	assert.Equal(t, testing.AllocsPerRun(100, func() { _, _ = r.Route(request) }), 0.0)
}

// Guards against a gateway at its cap that is asked again with every request.
func TestRejectedShiftPauses(t *testing.T) {
	f, r := newWorld()
	request := core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}}
	first, err := r.Route(request)
	assert.NilError(t, err)
	assert.Equal(t, first.Kind, core.HopGateway)
	r.RejectShift("s", "r2")
	second, err := r.Route(request)
	assert.NilError(t, err)
	assert.Assert(t, second.Kind != core.HopGateway, "%v", second.Kind)
	f.now = f.now.Add(time.Second)
	third, err := r.Route(request)
	assert.NilError(t, err)
	assert.Equal(t, third.Kind, core.HopGateway)
}

// Guards against a request of a moved share that asks a gateway which has just rejected it until no attempt is left.
func TestRejectedShareStays(t *testing.T) {
	f, r := newWorld()
	f.shift(100)
	f.local.FreeSlots = 1
	request := core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}}
	for _, want := range []core.HopKind{core.HopGateway, core.HopLocal, core.HopGateway} {
		hop, err := r.Route(request)
		assert.NilError(t, err)
		assert.Equal(t, hop.Kind, want)
		if hop.Kind == core.HopGateway {
			r.RejectShift("s", "r2")
		} else {
			f.now = f.now.Add(time.Second)
		}
	}
}

// Guards against a shift that stands still until the next report: the last response of the other region said that only
// its reserve was free, and without requests no response says more. Several requests must not ask at once.
func TestOldReportIsProbed(t *testing.T) {
	f, r := newWorld()
	f.snapshot.Policies = map[string]map[string]core.EffectivePolicy{"s": {"z5": {ShiftReservePercent: 50}}}
	r.Update(report("h5", "r2", 2, 0))
	request := core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}, ToRegion: "r2"}
	for _, step := range []struct {
		after time.Duration
		ok    bool
	}{{0, false}, {199 * time.Millisecond, false}, {time.Millisecond, true}, {0, false}, {199 * time.Millisecond, false}, {time.Millisecond, true}} {
		f.now = f.now.Add(step.after)
		hop, err := r.Route(request)
		assert.Equal(t, err == nil, step.ok)
		assert.Equal(t, hop.Peer.Host == "h5", step.ok)
	}
}
