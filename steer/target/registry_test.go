package target_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/target"
)

func newTarget(id string) core.Target {
	return core.Target{Address: "10.0.0.1:80", ID: id, Sequence: 5, StartedMs: 100, State: core.TargetReady}
}

func ids(r *target.Registry) []string {
	var found []string
	for _, t := range r.Targets().Targets {
		found = append(found, t.ID)
	}
	return found
}

// TestOutages guards against dropping targets that could not renew their registrations because the store was down, and
// against keeping targets that were removed.
func TestOutages(t *testing.T) {
	cases := map[string]struct {
		steps func(*target.Registry, *timer.Manual)
		want  []string
	}{
		"removed while the store is up": {
			func(r *target.Registry, _ *timer.Manual) { r.Remove("a") }, []string{"b"},
		},
		"missing from a list while the store is up": {
			func(r *target.Registry, _ *timer.Manual) { r.Reset([]core.Target{newTarget("b")}) }, []string{"b"},
		},
		"removed during an outage": {
			func(r *target.Registry, _ *timer.Manual) { r.MarkStoreDown(); r.Remove("a"); r.RemoveMissing() }, []string{"a", "b"},
		},
		"missing right after an outage": {
			func(r *target.Registry, m *timer.Manual) {
				r.MarkStoreDown()
				r.MarkStoreUp()
				r.Reset([]core.Target{newTarget("b")})
				m.Advance(1900 * time.Millisecond)
				r.RemoveMissing()
			}, []string{"a", "b"},
		},
		"still missing after two seconds": {
			func(r *target.Registry, m *timer.Manual) {
				r.MarkStoreDown()
				r.MarkStoreUp()
				r.Reset([]core.Target{newTarget("b")})
				m.Advance(2100 * time.Millisecond)
				r.RemoveMissing()
			}, []string{"b"},
		},
		"registered again within two seconds": {
			func(r *target.Registry, m *timer.Manual) {
				r.MarkStoreDown()
				r.MarkStoreUp()
				r.Reset(nil)
				r.Put(newTarget("a"))
				m.Advance(2100 * time.Millisecond)
				r.RemoveMissing()
			}, []string{"a"},
		},
		"removed long after an outage": {
			func(r *target.Registry, m *timer.Manual) {
				r.MarkStoreDown()
				r.MarkStoreUp()
				m.Advance(2100 * time.Millisecond)
				r.Remove("a")
			}, []string{"b"},
		},
		"second outage within the grace period of the first": {
			func(r *target.Registry, m *timer.Manual) {
				r.MarkStoreDown()
				r.MarkStoreUp()
				r.Remove("a")
				m.Advance(time.Second)
				r.MarkStoreDown()
				m.Advance(5 * time.Second)
				r.RemoveMissing()
			}, []string{"a", "b"},
		},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			m := timer.NewManual()
			m.Advance(time.Hour)
			r := target.New(m, zap.NewNop())
			assert.Assert(t, r.Targets() == nil)
			r.Reset([]core.Target{newTarget("a"), newTarget("b")})
			k.steps(r, m)
			assert.DeepEqual(t, ids(r), k.want)
		})
	}
}

// TestOlderRegistrations guards against a registration that arrives late, or comes from an earlier start of its target,
// and replaces a newer one. Such a registration could return a draining target to service.
func TestOlderRegistrations(t *testing.T) {
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
			r := target.New(timer.NewManual(), zap.NewNop())
			r.Put(newTarget("a"))
			registration := newTarget("a")
			registration.Sequence, registration.StartedMs, registration.State = k.sequence, k.started, core.TargetDraining
			r.Put(registration)
			assert.Equal(t, r.Targets().Targets[0].State == core.TargetDraining, k.accepted)
		})
	}
}

// TestDrainedZones guards against a drain that changes a list which readers already use, and against zones that stay drained
// after they were removed from the set.
func TestDrainedZones(t *testing.T) {
	r := target.New(timer.NewManual(), zap.NewNop())
	r.SetDrained("z1", true)
	before := r.Targets()
	r.SetDrained("z2", true)
	assert.DeepEqual(t, before.DrainedZones, map[string]bool{"z1": true})
	r.SetDrainedZones([]string{"z2"})
	r.SetDrained("z2", false)
	assert.Assert(t, !slices.Contains([]bool{r.Targets().DrainedZones["z1"], r.Targets().DrainedZones["z2"]}, true))
	assert.Assert(t, r.Targets().Version > before.Version)
}

// TestBurstMakesOneList guards against building a list for each of many changes that arrive at once, although no reader
// asks for it.
func TestBurstMakesOneList(t *testing.T) {
	r := target.New(timer.NewManual(), zap.NewNop())
	r.Reset([]core.Target{{ID: "a", State: core.TargetReady}})
	before := r.Targets().Version
	for n := range 300 {
		r.Put(core.Target{ID: fmt.Sprint("t", n), State: core.TargetReady})
	}
	r.Remove("t7")
	after := r.Targets()
	assert.Equal(t, after.Version, before+1)
	assert.Equal(t, len(after.Targets), 300)
	assert.Equal(t, r.Targets().Version, after.Version)
}

// BenchmarkBurst applies the changes that a host of the large deployment missed in an outage of 9 s.
func BenchmarkBurst(b *testing.B) {
	r := target.New(timer.NewManual(), zap.NewNop())
	for n := range 474 {
		r.Put(core.Target{ID: fmt.Sprint("t", n), State: core.TargetReady})
	}
	b.ReportAllocs()
	for b.Loop() {
		for n := range 340 {
			r.Put(core.Target{ID: fmt.Sprint("t", n), State: core.TargetReady})
		}
		if r.Targets() == nil {
			b.Fatal("no list")
		}
	}
}
