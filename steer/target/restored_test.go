package target_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/target"
)

// TestRestoredStore guards against targets that have left and are used again because the store was restored from a copy that has them,
// and against working ones that are dropped before they can write their registrations again.
func TestRestoredStore(t *testing.T) {
	newer := newTarget("a")
	newer.Sequence++
	restarted := newTarget("a")
	restarted.StartedMs, restarted.Sequence = 200, 0
	cases := map[string]struct {
		steps func(*target.Registry, *timer.Manual)
		want  []string
	}{
		"left before, listed again": {func(r *target.Registry, _ *timer.Manual) {
			r.Remove("a")
			r.MarkRestored()
			r.Reset([]core.Target{newTarget("a"), newTarget("b")})
		}, []string{"b"}},
		"left before, written again by a late write": {func(r *target.Registry, _ *timer.Manual) {
			r.Remove("a")
			r.MarkRestored()
			r.Reset([]core.Target{newTarget("b")})
			r.Put(newTarget("a"))
		}, []string{"b"}},
		"left before, listed in two eras": {func(r *target.Registry, m *timer.Manual) {
			r.Remove("a")
			r.MarkRestored()
			m.Advance(10 * time.Second)
			r.MarkRestored()
			r.Reset([]core.Target{newTarget("a"), newTarget("b")})
		}, []string{"b"}},
		"left before, newer report": {func(r *target.Registry, _ *timer.Manual) {
			r.Remove("a")
			r.MarkRestored()
			r.Reset([]core.Target{newer, newTarget("b")})
		}, []string{"a", "b"}},
		"left before, started again": {func(r *target.Registry, _ *timer.Manual) {
			r.Remove("a")
			r.MarkRestored()
			r.Reset([]core.Target{restarted, newTarget("b")})
		}, []string{"a", "b"}},
		"removed and registered again without a restore": {func(r *target.Registry, _ *timer.Manual) {
			r.Remove("a")
			r.Reset([]core.Target{newTarget("a"), newTarget("b")})
		}, []string{"a", "b"}},
		"left long before": {func(r *target.Registry, m *timer.Manual) {
			r.Remove("a")
			m.Advance(3 * time.Minute)
			r.MarkRestored()
			r.Reset([]core.Target{newTarget("a"), newTarget("b")})
		}, []string{"a", "b"}},
		"lost by the store": {func(r *target.Registry, m *timer.Manual) {
			r.MarkRestored()
			r.Reset([]core.Target{newTarget("b")})
			m.Advance(1900 * time.Millisecond)
			r.RemoveMissing()
		}, []string{"a", "b"}},
		"lost by the store and not written again": {func(r *target.Registry, m *timer.Manual) {
			r.MarkRestored()
			r.Reset([]core.Target{newTarget("b")})
			m.Advance(2100 * time.Millisecond)
			r.RemoveMissing()
		}, []string{"b"}},
		"lost by the store and written again late": {func(r *target.Registry, m *timer.Manual) {
			r.MarkRestored()
			r.Reset([]core.Target{newTarget("b")})
			m.Advance(2100 * time.Millisecond)
			r.RemoveMissing()
			r.MarkRestored()
			r.Put(newTarget("a"))
		}, []string{"a", "b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := timer.NewManual()
			r := target.New(m, zap.NewNop())
			r.Reset([]core.Target{newTarget("a"), newTarget("b")})
			c.steps(r, m)
			assert.DeepEqual(t, ids(r), c.want)
		})
	}
}

// TestLostDrains guards against requests to the targets of a drained zone in the time in which the restored store lacks the drain.
func TestLostDrains(t *testing.T) {
	cases := map[string]struct {
		steps func(*target.Registry, *timer.Manual)
		want  map[string]bool
	}{
		"not written again yet": {func(_ *target.Registry, m *timer.Manual) { m.Advance(time.Second) }, map[string]bool{"z1": true}},
		"written again":         {func(r *target.Registry, m *timer.Manual) { r.SetDrained("z1", true); m.Advance(time.Minute) }, map[string]bool{"z1": true}},
		"ended by operators":    {func(r *target.Registry, _ *timer.Manual) { r.SetDrained("z1", false) }, map[string]bool{"z1": false}},
		"not written again":     {func(_ *target.Registry, m *timer.Manual) { m.Advance(3 * time.Second) }, map[string]bool{}},
		"written again in time": {func(r *target.Registry, _ *timer.Manual) { r.SetDrainedZones([]string{"z1", "z2"}) }, map[string]bool{"z1": true, "z2": true}},
		"listed without, later": {func(r *target.Registry, m *timer.Manual) {
			m.Advance(3 * time.Second)
			r.SetDrainedZones(nil)
		}, map[string]bool{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := timer.NewManual()
			r := target.New(m, zap.NewNop())
			r.SetDrainedZones([]string{"z1"})
			r.MarkZonesRestored()
			r.SetDrainedZones(nil)
			c.steps(r, m)
			r.RemoveMissing()
			assert.DeepEqual(t, r.Targets().DrainedZones, c.want)
		})
	}
}
