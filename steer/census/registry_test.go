package census_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/census"
)

func newTarget(id string) core.Target {
	return core.Target{Address: "10.0.0.1:80", ID: id, Sequence: 5, StartedMs: 100, State: core.TargetReady}
}

func ids(c *census.Registry) []string {
	var found []string
	for _, t := range c.Targets().Targets {
		found = append(found, t.ID)
	}
	return found
}

// TestOutages guards against dropping targets that could not renew their entries because the store was down, and
// against keeping targets that were removed.
func TestOutages(t *testing.T) {
	cases := map[string]struct {
		steps func(*census.Registry, *timer.Manual)
		want  []string
	}{
		"removed while the store is up": {
			func(c *census.Registry, _ *timer.Manual) { c.Remove("a") }, []string{"b"},
		},
		"missing from a list while the store is up": {
			func(c *census.Registry, _ *timer.Manual) { c.Reset([]core.Target{newTarget("b")}) }, []string{"b"},
		},
		"removed during an outage": {
			func(c *census.Registry, _ *timer.Manual) { c.MarkStoreDown(); c.Remove("a"); c.RemoveMissing() }, []string{"a", "b"},
		},
		"missing right after an outage": {
			func(c *census.Registry, m *timer.Manual) {
				c.MarkStoreDown()
				c.MarkStoreUp()
				c.Reset([]core.Target{newTarget("b")})
				m.Advance(1900 * time.Millisecond)
				c.RemoveMissing()
			}, []string{"a", "b"},
		},
		"still missing after two seconds": {
			func(c *census.Registry, m *timer.Manual) {
				c.MarkStoreDown()
				c.MarkStoreUp()
				c.Reset([]core.Target{newTarget("b")})
				m.Advance(2100 * time.Millisecond)
				c.RemoveMissing()
			}, []string{"b"},
		},
		"registered again within two seconds": {
			func(c *census.Registry, m *timer.Manual) {
				c.MarkStoreDown()
				c.MarkStoreUp()
				c.Reset(nil)
				c.Put(newTarget("a"))
				m.Advance(2100 * time.Millisecond)
				c.RemoveMissing()
			}, []string{"a"},
		},
		"removed long after an outage": {
			func(c *census.Registry, m *timer.Manual) {
				c.MarkStoreDown()
				c.MarkStoreUp()
				m.Advance(2100 * time.Millisecond)
				c.Remove("a")
			}, []string{"b"},
		},
		"second outage within the grace period of the first": {
			func(c *census.Registry, m *timer.Manual) {
				c.MarkStoreDown()
				c.MarkStoreUp()
				c.Remove("a")
				m.Advance(time.Second)
				c.MarkStoreDown()
				m.Advance(5 * time.Second)
				c.RemoveMissing()
			}, []string{"a", "b"},
		},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			m := timer.NewManual()
			m.Advance(time.Hour)
			c := census.New(m, zap.NewNop())
			assert.Assert(t, c.Targets() == nil)
			c.Reset([]core.Target{newTarget("a"), newTarget("b")})
			k.steps(c, m)
			assert.DeepEqual(t, ids(c), k.want)
		})
	}
}

// TestOlderEntries guards against entries that arrive late or come from an earlier start and return a draining target
// to service.
func TestOlderEntries(t *testing.T) {
	cases := map[string]struct {
		started, sequence int64
		accepted          bool
	}{
		"newer sequence":                  {100, 6, true},
		"older sequence":                  {100, 4, false},
		"later start with lower sequence": {101, 1, true},
		"earlier start":                   {99, 50, false},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			c := census.New(timer.NewManual(), zap.NewNop())
			c.Put(newTarget("a"))
			entry := newTarget("a")
			entry.Sequence, entry.StartedMs, entry.State = k.sequence, k.started, core.TargetDraining
			c.Put(entry)
			assert.Equal(t, c.Targets().Targets[0].State == core.TargetDraining, k.accepted)
		})
	}
}

func TestDrainedZones(t *testing.T) {
	c := census.New(timer.NewManual(), zap.NewNop())
	c.SetDrained("z1", true)
	before := c.Targets()
	c.SetDrained("z2", true)
	assert.DeepEqual(t, before.DrainedZones, map[string]bool{"z1": true})
	c.SetDrainedZones([]string{"z2"})
	c.SetDrained("z2", false)
	assert.Assert(t, !slices.Contains([]bool{c.Targets().DrainedZones["z1"], c.Targets().DrainedZones["z2"]}, true))
	assert.Assert(t, c.Targets().Version > before.Version)
}

// TestBurstMakesOneList guards against a host that applies many changes at once and spends its time on building lists
// that nobody reads.
func TestBurstMakesOneList(t *testing.T) {
	c := census.New(timer.NewManual(), zap.NewNop())
	c.Reset([]core.Target{{ID: "a", State: core.TargetReady}})
	before := c.Targets().Version
	for n := range 300 {
		c.Put(core.Target{ID: fmt.Sprint("t", n), State: core.TargetReady})
	}
	c.Remove("t7")
	after := c.Targets()
	assert.Equal(t, after.Version, before+1)
	assert.Equal(t, len(after.Targets), 300)
	assert.Equal(t, c.Targets().Version, after.Version)
}

// BenchmarkBurst applies the changes that a host of the large deployment missed in an outage of 9 s.
func BenchmarkBurst(b *testing.B) {
	c := census.New(timer.NewManual(), zap.NewNop())
	for n := range 474 {
		c.Put(core.Target{ID: fmt.Sprint("t", n), State: core.TargetReady})
	}
	b.ReportAllocs()
	for b.Loop() {
		for n := range 340 {
			c.Put(core.Target{ID: fmt.Sprint("t", n), State: core.TargetReady})
		}
		if c.Targets() == nil {
			b.Fatal("no list")
		}
	}
}
