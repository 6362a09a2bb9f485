package roster_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/roster"
)

// sizedHost returns a host of region r1 with a capacity in cores.
func sizedHost(name, zone string, capacity float64) core.Host {
	h := host(name, "r1", zone)
	h.Capacity = capacity
	return h
}

// newRoster returns a roster of host a, with three live hosts of 0.3 cores in two availability zones and one of 0.8
// cores.
func newRoster(slots float64) (*roster.Roster, *fakeLinks, *timer.Manual) {
	hosts := []core.Host{sizedHost("a", "z1", 0.3), sizedHost("b", "z1", 0.3), sizedHost("c", "z2", 0.3), sizedHost("d", "z2", 0.8)}
	links := &fakeLinks{map[string]bool{"b:72": true, "c:72": true, "d:72": true}, map[string]bool{}}
	m := timer.NewManual()
	m.Advance(time.Hour)
	r := roster.New(hosts[0], links, m, zap.NewNop(), roster.WithSlots(func() float64 { return slots }))
	r.Reset(hosts)
	m.Advance(2 * time.Second)
	return r, links, m
}

func names(r *roster.Roster) []string {
	var all []string
	for _, h := range r.Resolve("r1", "z1") {
		all = append(all, h.Host)
	}
	return all
}

// TestFewestHostsCarryTheDemand guards against spreading callers over so many hosts that each has an inaccurate view of
// the targets, and against selecting fewer hosts than the demand needs.
func TestFewestHostsCarryTheDemand(t *testing.T) {
	cases := map[string]struct {
		slots float64
		rates map[string]float64
		dead  []string
		want  []string
	}{
		"no rates and no slots":          {0, nil, nil, []string{"d"}},
		"targets of 390 slots":           {390, nil, nil, []string{"d"}},
		"targets of 420 slots":           {420, nil, nil, []string{"d", "a"}},
		"one large host is enough":       {10, map[string]float64{"d": 700}, nil, []string{"d"}},
		"second of another zone":         {10, map[string]float64{"d": 600, "a": 300}, nil, []string{"d", "a"}},
		"third":                          {10, map[string]float64{"d": 600, "a": 600}, nil, []string{"d", "a", "b"}},
		"all, so those of the same zone": {10, map[string]float64{"d": 9000}, nil, []string{"a", "b"}},
		"large host dead":                {10, map[string]float64{"d": 200}, []string{"d"}, []string{"a"}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			r, links, _ := newRoster(k.slots)
			for host, perSecond := range k.rates {
				r.RecordRate(host, perSecond)
			}
			for _, dead := range k.dead {
				links.alive[dead+":72"] = false
			}
			assert.DeepEqual(t, names(r), k.want)
		})
	}
}

// TestDemandFallsSlowly guards against moving callers between hosts with every fluctuation of the load.
func TestDemandFallsSlowly(t *testing.T) {
	r, _, m := newRoster(10)
	r.RecordRate("d", 1300)
	assert.DeepEqual(t, names(r), []string{"d", "a", "b"})
	m.Advance(time.Second)
	r.RecordRate("d", 100)
	assert.Equal(t, len(names(r)), 3)
	m.Advance(9 * time.Second)
	r.RecordRate("d", 100)
	assert.DeepEqual(t, names(r), []string{"d"})
}

// TestStaleRatesAreDropped guards against a demand that includes the rates of hosts that have stopped.
func TestStaleRatesAreDropped(t *testing.T) {
	r, _, m := newRoster(10)
	r.RecordRate("b", 700)
	m.Advance(4 * time.Second)
	r.RecordRate("d", 700)
	assert.DeepEqual(t, names(r), []string{"d"})
}

// TestLookupsAreCachedBriefly guards against lookups that name a dead host for too long, and against a cache that grows
// with the number of locations that callers name.
func TestLookupsAreCachedBriefly(t *testing.T) {
	r, links, m := newRoster(10)
	assert.DeepEqual(t, names(r), []string{"d"})
	links.alive["d:72"] = false
	m.Advance(49 * time.Millisecond)
	assert.DeepEqual(t, names(r), []string{"d"})
	for n := range 1000 {
		assert.Equal(t, len(r.Resolve("r1", time.Duration(n).String())), 1)
	}
	m.Advance(time.Millisecond)
	assert.DeepEqual(t, names(r), []string{"a"})
	links.alive["d:72"] = true
	r.Remove("c")
	assert.DeepEqual(t, names(r), []string{"d"})
}
