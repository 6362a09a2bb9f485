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

// fixture holds the dependencies of a Router on host h1 in zone z1 of region r1.
type fixture struct {
	core.Links
	core.Timer
	dead       map[string]bool
	draining   string
	local      core.ServiceLoad
	now        core.Instant
	snapshot   *core.Snapshot
	stamp      atomic.Int64
	fixedStamp bool
}

func (f *fixture) Alive(address string) bool { return !f.dead[address] }

func (f *fixture) Current() *core.Snapshot { return f.snapshot }

func (f *fixture) Now() core.Instant { return f.now }

func (f *fixture) Owner(_, object string) (core.Host, bool) {
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

// Stamp returns a new stamp at each call, so that changes of the fixture take effect at once, unless fixedStamp is set.
func (f *fixture) Stamp(string) core.OwnershipStamp {
	if f.fixedStamp {
		return core.OwnershipStamp{Epoch: 1}
	}
	return core.OwnershipStamp{Epoch: f.stamp.Add(1)}
}

func (f *fixture) ServiceLoad(string) core.ServiceLoad { return f.local }

func newFixture() (*fixture, *route.Router) {
	f := &fixture{dead: map[string]bool{}, local: core.ServiceLoad{Slots: 4, WaitMs: 50}, now: core.Instant(time.Hour)}
	f.setShift(0)
	return f, route.New(route.Config{
		Host: "h1", Links: f, Load: f, Ownership: f, Region: "r1", Settings: f, Timer: f, Zone: "z1",
	})
}

// setShift replaces the settings by ones in which percent of the requests are moved to region r2.
func (f *fixture) setShift(percent int64) {
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

// setLatency sets the one-way latency to region r2 to 100 ms, so that every queue of the tests is shorter than the
// round-trip time.
func (f *fixture) setLatency() {
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
		edit    func(*fixture, *core.RouteRequest)
		reports []core.LoadReport
		kind    core.HopKind
		host    string
		code    codes.Code
	}{
		"local slot preferred": {
			failure: "a hop to a peer although a local slot is free",
			edit:    func(f *fixture, _ *core.RouteRequest) { f.local.FreeSlots = 1 },
			reports: []core.LoadReport{report("h2", "r1", 4, 0)},
			kind:    core.HopLocal,
		},
		"local zone preferred": {
			failure: "a hop to another zone although the local zone has free slots",
			reports: []core.LoadReport{report("h2", "r1", 1, 0), report("h3", "r1", 4, 0)},
			kind:    core.HopOwner, host: "h2",
		},
		"most free slots in the region": {
			failure: "a choice that ignores load reports",
			reports: []core.LoadReport{report("h2", "r1", 0, 9), report("h3", "r1", 1, 0), report("h4", "r1", 3, 0)},
			kind:    core.HopOwner, host: "h4",
		},
		"stale report": {
			failure: "a stale report that counts as free capacity",
			edit: func(f *fixture, _ *core.RouteRequest) {
				f.now = f.now.Add(7 * time.Second)
				f.setLatency()
			},
			reports: []core.LoadReport{report("h2", "r1", 4, 0)},
			kind:    core.HopLocal,
		},
		"dead link": {
			failure: "a request sent to a peer over a dead link",
			edit:    func(f *fixture, _ *core.RouteRequest) { f.dead["h2"] = true },
			reports: []core.LoadReport{report("h2", "r1", 4, 0), report("h3", "r1", 1, 0)},
			kind:    core.HopOwner, host: "h3",
		},
		"draining peer": {
			failure: "a request sent to a draining host although others have free slots",
			edit:    func(f *fixture, _ *core.RouteRequest) { f.draining = "h2" },
			reports: []core.LoadReport{report("h2", "r1", 4, 0), report("h3", "r1", 1, 0)},
			kind:    core.HopOwner, host: "h3",
		},
		"shortest wait": {
			failure: "a host without a report that is preferred to one with a known wait",
			edit: func(f *fixture, _ *core.RouteRequest) {
				f.local = core.ServiceLoad{}
				f.setLatency()
			},
			reports: []core.LoadReport{report("h2", "r1", 0, 90), report("h3", "r1", 0, 20)},
			kind:    core.HopOwner, host: "h3",
		},
		"queue of a draining peer": {
			failure: "a request queued at a draining host",
			edit: func(f *fixture, _ *core.RouteRequest) {
				f.local = core.ServiceLoad{}
				f.draining = "h3"
				f.setLatency()
			},
			reports: []core.LoadReport{report("h2", "r1", 0, 90), report("h3", "r1", 0, 20), report("h4", "r1", 0, 95)},
			kind:    core.HopOwner, host: "h2",
		},
		"spill to another region": {
			failure: "a request queued although another region has free slots and the cap permits it",
			reports: []core.LoadReport{
				report("h2", "r1", 0, 9), report("h3", "r1", 0, 9), report("h4", "r1", 0, 9), report("h5", "r2", 2, 0),
			},
			kind: core.HopGateway, host: "h3",
		},
		"spill without reports": {
			failure: "a request queued at a host that gets no reports from the other region because it is not the gateway",
			reports: []core.LoadReport{report("h2", "r1", 0, 90), report("h3", "r1", 0, 90), report("h4", "r1", 0, 90)},
			kind:    core.HopGateway, host: "h3",
		},
		"no spill for a short wait": {
			failure: "a round trip to another region that takes longer than the wait in the queue",
			edit:    func(f *fixture, _ *core.RouteRequest) { f.setLatency() },
			reports: []core.LoadReport{report("h2", "r1", 0, 90), report("h5", "r2", 4, 0)},
			kind:    core.HopLocal,
		},
		"no spill into the reserve": {
			failure: "a request sent to another region that rejects it because its free slots are reserved",
			edit: func(f *fixture, _ *core.RouteRequest) {
				f.snapshot.Policies = map[string]map[string]core.EffectivePolicy{"s": {"z5": {ShiftReservePercent: 50}}}
			},
			reports: []core.LoadReport{
				report("h2", "r1", 0, 9), report("h3", "r1", 0, 9), report("h4", "r1", 0, 9), report("h5", "r2", 2, 0),
			},
			kind: core.HopOwner, host: "h2",
		},
		"no spill of remote requests": {
			failure: "a request relayed in a loop between regions",
			edit:    func(_ *fixture, q *core.RouteRequest) { q.FromRegion = "r3" },
			reports: []core.LoadReport{report("h2", "r1", 0, 9), report("h5", "r2", 2, 0)},
			kind:    core.HopOwner, host: "h2",
		},
		"gateway chooses owner": {
			failure: "a gateway that sends a request back into its own region",
			edit: func(f *fixture, q *core.RouteRequest) {
				q.ToRegion = "r2"
				f.local.FreeSlots = 1
			},
			reports: []core.LoadReport{report("h5", "r2", 2, 0)},
			kind:    core.HopOwner, host: "h5",
		},
		"gateway without reports": {
			failure: "a destination without reports that counts as free capacity",
			edit:    func(_ *fixture, q *core.RouteRequest) { q.ToRegion = "r2" },
			code:    codes.NoPermittedTarget,
		},
		"deliberate share": {
			failure: "a configured percent that has no effect while local slots are free",
			edit: func(f *fixture, _ *core.RouteRequest) {
				f.setShift(100)
				f.local.FreeSlots = 1
			},
			kind: core.HopGateway, host: "h3",
		},
		"home region is another one": {
			failure: "a request that runs locally although its home is another region",
			edit: func(f *fixture, q *core.RouteRequest) {
				f.local.FreeSlots = 1
				f.setLatency()
				q.HomeRegions = []string{"r2"}
			},
			kind: core.HopGateway, host: "h3",
		},
		"home region forbids a deliberate share": {
			failure: "a request that a configured percent moves out of its home region",
			edit: func(f *fixture, q *core.RouteRequest) {
				f.setShift(100)
				f.local.FreeSlots = 1
				q.HomeRegions = []string{"r1"}
			},
			kind: core.HopLocal,
		},
		"home region forbids spilling over": {
			failure: "a request that spills over into a region that is not its home",
			edit:    func(_ *fixture, q *core.RouteRequest) { q.HomeRegions = []string{"r1"} },
			reports: []core.LoadReport{report("h2", "r1", 0, 9), report("h5", "r2", 2, 0)},
			kind:    core.HopOwner, host: "h2",
		},
		"gateway to a region that is no home": {
			failure: "a gateway that sends a request to a region that is not its home",
			edit: func(_ *fixture, q *core.RouteRequest) {
				q.ToRegion = "r2"
				q.HomeRegions = []string{"r1"}
			},
			reports: []core.LoadReport{report("h5", "r2", 2, 0)},
			code:    codes.NoPermittedTarget,
		},
		"request from another region that is no home": {
			failure: "an owner that runs a request of another region although its own is not a home of the request",
			edit: func(f *fixture, q *core.RouteRequest) {
				f.local.FreeSlots = 1
				q.FromRegion = "r2"
				q.HomeRegions = []string{"r2"}
			},
			code: codes.NoPermittedTarget,
		},
		"no region is a home": {
			failure: "a request that runs although no region that can be reached is its home",
			edit: func(f *fixture, q *core.RouteRequest) {
				f.local.FreeSlots = 1
				q.HomeRegions = []string{"r9"}
			},
			code: codes.NoPermittedTarget,
		},
		"tried hosts": {
			failure: "a retry at a host that rejected the request",
			edit: func(f *fixture, q *core.RouteRequest) {
				f.local.FreeSlots = 1
				q.TriedHosts = []string{"h1", "h2", "h3", "h4"}
			},
			code: codes.NoPermittedTarget,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.failure)
			f, r := newFixture()
			for _, loadReport := range test.reports {
				r.Update(loadReport)
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

// Guards against herding on the peer with the newest report: requests that this host has sent since then reduce the
// reported free slots.
func TestOwnRequestsReduceReportedSlots(t *testing.T) {
	_, r := newFixture()
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

// Guards against a choice by an old report although a later response carried a newer load, and against malformed loads.
func TestResponseLoadReplacesReport(t *testing.T) {
	_, r := newFixture()
	r.Update(report("h3", "r1", 0, 90))
	r.Update(report("h4", "r1", 2, 0))
	for host, value := range map[string]string{"h3": "2 0 4 0", "h4": "0 3 4 40"} {
		load, err := core.ParseLoad(value)
		assert.NilError(t, err)
		assert.Equal(t, core.FormatLoad(load), value)
		r.UpdateServiceLoad(core.Host{Host: host, Region: "r1"}, "s", load)
	}
	hop, err := r.Route(core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}})
	assert.NilError(t, err)
	assert.Equal(t, hop.Peer.Host, "h3")
	for _, value := range []string{"", "1 2 3", "-1 0 4 0", "a b c d"} {
		_, err := core.ParseLoad(value)
		assert.ErrorContains(t, err, "malformed")
	}
}

// Guards against allocation in the local choice, which most requests take.
func TestLocalChoiceDoesNotAllocate(t *testing.T) {
	f, r := newFixture()
	f.local.FreeSlots = 1
	request := core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}}
	assert.Equal(t, testing.AllocsPerRun(100, func() { _, _ = r.Route(request) }), 0.0)
}

// Guards against requests to a gateway that has just rejected one because its cap is reached.
func TestRejectedShiftIsBlocked(t *testing.T) {
	f, r := newFixture()
	request := core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}}
	first, err := r.Route(request)
	assert.NilError(t, err)
	assert.Equal(t, first.Kind, core.HopGateway)
	r.RecordShiftRejection("s", "r2")
	second, err := r.Route(request)
	assert.NilError(t, err)
	assert.Assert(t, second.Kind != core.HopGateway, "%v", second.Kind)
	f.now = f.now.Add(time.Second)
	third, err := r.Route(request)
	assert.NilError(t, err)
	assert.Equal(t, third.Kind, core.HopGateway)
}

// Guards against a request of a deliberate shift that returns to a gateway which has just rejected it, until it has no
// attempts left.
func TestRejectedShareIsServedLocally(t *testing.T) {
	f, r := newFixture()
	f.setShift(100)
	f.local.FreeSlots = 1
	request := core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}}
	for _, want := range []core.HopKind{core.HopGateway, core.HopLocal, core.HopGateway} {
		hop, err := r.Route(request)
		assert.NilError(t, err)
		assert.Equal(t, hop.Kind, want)
		if hop.Kind == core.HopGateway {
			r.RecordShiftRejection("s", "r2")
		} else {
			f.now = f.now.Add(time.Second)
		}
	}
}

// Guards against a shift that stalls until the next report: the last response of the other region showed only its reserve
// as free, and without requests no response carries a newer load. Several requests must not probe at once.
func TestOutdatedReportIsProbed(t *testing.T) {
	f, r := newFixture()
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
