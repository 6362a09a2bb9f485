package place

import (
	"math"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
)

// fakeLinks records the addresses to which messages were sent.
type fakeLinks struct {
	core.Links
	sent []string
}

func (f *fakeLinks) Send(address, _ string, _ []byte) error {
	f.sent = append(f.sent, address)
	return nil
}

// TestPeerReportsCountAsLoad guards against hosts that all send requests to a target that looks idle to each of them.
func TestPeerReportsCountAsLoad(t *testing.T) {
	other, sender := newFixture(readyTarget("a", "r1", "z1"), readyTarget("b", "r1", "z2"))
	sender.Host = "other"
	for range 8 {
		request := other.request(time.Minute)
		request.Avoid = []string{"b"}
		_, err := sender.Admit(t.Context(), request)
		assert.NilError(t, err)
	}
	payload, err := wire.Encode(sender.InFlight())
	assert.NilError(t, err)
	f, p := newFixture(readyTarget("a", "r1", "z1"), readyTarget("b", "r1", "z2"))
	p.updateTargets()
	hosts := newFakeHosts()
	e := &InFlightExchange{Log: zap.NewNop(), Placer: p, Hosts: hosts, Timer: f.timer}
	e.Handle("peer", payload)
	assert.Equal(t, len(hosts.rates), 1)
	e.Handle("peer", []byte("x"))
	grant, err := p.Admit(t.Context(), f.request(time.Minute))
	assert.NilError(t, err)
	assert.Equal(t, grant.Target().Target, "b")
	f.timer.Advance(peerReportMaxAge + time.Millisecond)
	p.targets["b"].inFlight = 0
	grant, err = p.Admit(t.Context(), f.request(time.Minute))
	assert.NilError(t, err)
	assert.Equal(t, grant.Target().Target, "a", "a stale peer report still counts")
}

// TestFreshLoadReportPrecedesPeerReports guards against an older sum of peer reports that overrides a recent load report of
// the target itself.
func TestFreshLoadReportPrecedesPeerReports(t *testing.T) {
	f, p := newFixture(readyTarget("a", "r1", "z1"))
	target := func() *target { return p.targets["a"] }
	request := f.request(time.Minute)
	f.finish(p, &request, core.Outcome{HasLoad: true, Load: core.TargetLoad{Running: 2, Queued: 1}})
	p.ApplyReport(core.InFlight{Host: "i", Targets: []uint32{uint32(target().hash)}, Counts: []int{9}})
	assert.Equal(t, target().busy(f.timer.Now()), 3)
	f.timer.Advance(loadFreshAge + time.Millisecond)
	assert.Equal(t, target().busy(f.timer.Now()), 9)
	f.timer.Advance(peerReportMaxAge)
	assert.Equal(t, target().busy(f.timer.Now()), 3)
	f.timer.Advance(loadMaxAge)
	assert.Equal(t, target().busy(f.timer.Now()), 0)
}

// TestReportsPerRoundAreBounded guards against reports to all hosts of a large region at once.
func TestReportsPerRoundAreBounded(t *testing.T) {
	_, p := newFixture(readyTarget("a", "r1", "z1"))
	links := &fakeLinks{}
	peers := []string{"1", "2", "3", "4", "5", "6"}
	e := &InFlightExchange{Links: links, Log: zap.NewNop(), Peers: func() []string { return peers }, Placer: p}
	last := 0
	for range 3 {
		last = e.send(core.InFlight{Host: "h"}, last)
	}
	assert.Equal(t, len(links.sent), 12)
	counts := map[string]int{}
	for _, peer := range links.sent {
		counts[peer]++
	}
	for _, peer := range peers {
		assert.Equal(t, counts[peer], 2)
	}
	peers = nil
	assert.Equal(t, e.send(core.InFlight{Host: "h"}, last), last)
}

// TestInFlightValidation guards against malformed peer reports, such as one that lacks the count of a target or has a rate
// that spoils all sums.
func TestInFlightValidation(t *testing.T) {
	cases := map[string]struct {
		report core.InFlight
		valid  bool
	}{
		"valid":          {core.InFlight{Host: "h", Targets: []uint32{1}, Counts: []int{2}}, true},
		"empty":          {core.InFlight{Host: "h"}, true},
		"no host":        {core.InFlight{}, false},
		"missing count":  {core.InFlight{Host: "h", Targets: []uint32{1}}, false},
		"negative rate":  {core.InFlight{Host: "h", Rate: -1}, false},
		"infinite rate":  {core.InFlight{Host: "h", Rate: math.Inf(1)}, false},
		"rate is NaN":    {core.InFlight{Host: "h", Rate: math.NaN()}, false},
		"negative count": {core.InFlight{Host: "h", Targets: []uint32{1}, Counts: []int{-1}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.report.Validate() == nil, c.valid)
		})
	}
}

// TestLateResponsesTightenAdmission guards against requests that a busy target gets although responses take three times as
// long as expected, so that they would miss their latency objective. They are admitted again once responses arrive as
// expected.
func TestLateResponsesTightenAdmission(t *testing.T) {
	f, p := newFixture(readyTarget("a", "r1", "z1"))
	p.updateTargets()
	admitted := func() bool {
		p.targets["a"].inFlight += 2
		request := f.request(time.Minute)
		request.LatencyObjective = f.timer.Now().Add(1500 * time.Millisecond)
		grant, err := p.Admit(t.Context(), request)
		p.targets["a"].inFlight -= 2
		if err != nil {
			return false
		}
		grant.Release(core.Outcome{})
		return true
	}
	assert.Assert(t, admitted())
	for range 60 {
		p.latencyRatios.record("s", 100*time.Millisecond, 300*time.Millisecond)
	}
	assert.Assert(t, !admitted())
	for range 60 {
		p.latencyRatios.record("s", 100*time.Millisecond, 90*time.Millisecond)
	}
	assert.Assert(t, admitted())
}

// TestAnnounceStop guards against hosts that learn of a planned stop only when it has ended: all of them are told at once,
// and later reports do not contradict it.
func TestAnnounceStop(t *testing.T) {
	f, p := newFixture(readyTarget("a", "r1", "z1"))
	links := &fakeLinks{}
	peers := []string{"1", "2", "3", "4", "5", "6"}
	hosts := newFakeHosts()
	e := &InFlightExchange{Hosts: hosts, Links: links, Log: zap.NewNop(), Peers: func() []string { return peers }, Placer: p, Timer: f.timer}
	assert.Assert(t, !e.report().Stopping)
	e.AnnounceStop()
	assert.DeepEqual(t, links.sent, peers)
	assert.Assert(t, hosts.stopping["h"] && e.report().Stopping)
	payload, err := wire.Encode(e.report())
	assert.NilError(t, err)
	other := newFakeHosts()
	(&InFlightExchange{Hosts: other, Log: zap.NewNop(), Placer: p}).Handle("peer", payload)
	assert.Assert(t, other.stopping["h"])
}

// fakeHosts records what hosts report about themselves.
type fakeHosts struct {
	rates    map[string]float64
	stopping map[string]bool
}

func newFakeHosts() fakeHosts { return fakeHosts{map[string]float64{}, map[string]bool{}} }

func (f fakeHosts) RecordRate(host string, perSecond float64) { f.rates[host] = perSecond }

func (f fakeHosts) RecordStopping(host string, stopping bool) { f.stopping[host] = stopping }

// TestRequestRate guards against a request rate that overstates bursts, or that never returns to 0 on an idle host.
func TestRequestRate(t *testing.T) {
	f, p := newFixture(readyTarget("a", "r1", "z1"))
	p.InFlight()
	rate := 0.0
	for range 20 {
		for range 10 {
			_, err := p.Admit(t.Context(), f.request(time.Minute))
			_ = err
		}
		f.timer.Advance(reportInterval)
		rate = p.InFlight().Rate
	}
	assert.Assert(t, rate > 45 && rate <= 50, "%v", rate)
	for range 60 {
		f.timer.Advance(reportInterval)
		rate = p.InFlight().Rate
	}
	assert.Equal(t, rate, 0.0)
}
