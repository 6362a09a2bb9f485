package owner_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestIdleSteerNoticesChangedInputs guards against an idle steer that skips its check for work although an input of the
// check has changed since.
func TestIdleSteerNoticesChangedInputs(t *testing.T) {
	for name, test := range map[string]struct {
		change func(t *testing.T, r *region)
		want   bool
	}{
		"nothing": {func(*testing.T, *region) {}, false},
		"settings": {func(_ *testing.T, r *region) {
			next := r.source.Snapshot
			next.Settings.Services = maps.Clone(next.Settings.Services)
			next.Settings.Services["new"] = core.ServiceSettings{Targets: map[string]core.TargetSettings{"n": {Zone: "l1"}}}
			r.source.next = &next
		}, true},
		"document": {func(t *testing.T, r *region) {
			d := r.document(t)
			delete(d.Members, "d")
			d.Epoch++
			r.steers["a"].Observe(d)
		}, true},
		"grantor of another incarnation": {func(_ *testing.T, r *region) {
			r.hosts = slices.Clone(r.hosts)
			r.hosts[1].Incarnation = "b2"
		}, true},
		"grantor suspected": {func(_ *testing.T, r *region) {
			r.liveHosts = slices.DeleteFunc(slices.Clone(r.liveHosts), func(h core.Host) bool { return h.Host == "b" })
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegion(8)
			r.join(t, "a", "b", "c", "d")
			r.steers["a"].SetLocalIncarnation("a1")
			for r.tickFor(t, 1) {
			}
			test.change(t, r)
			assert.Equal(t, r.tickFor(t, 15), test.want)
		})
	}
}

// tickFor calls Tick on the steer of host a once a second, follows its advice about grantors and reports whether it
// found work.
func (r *region) tickFor(t *testing.T, seconds int) bool {
	t.Helper()
	puts, advised := r.store.puts, false
	for range seconds {
		r.advice = core.LeaseAdvice{}
		r.clock.now = r.clock.now.Add(time.Second)
		r.steers["a"].Tick(context.Background())
		if a := r.advice; len(a.Grantors) > 0 {
			advised = true
			c := core.LeaseChange{Grantors: a.Grantors, GrantorsFrom: a.GrantorsFrom, Host: "a", Incarnation: "a1", Region: "luzon"}
			assert.Equal(t, r.steers["a"].Change(context.Background(), c).Outcome, core.LeaseApplied)
		}
	}
	return advised || r.store.puts > puts
}
