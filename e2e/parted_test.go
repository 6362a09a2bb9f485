package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

// Guards against callers that stay affected, broken limits and settings that revert or do not arrive when two regions
// lose each other while both run; the store is in the north.
func TestPartedRegions(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// lonely means that the south loses the store as well.
		lonely bool
	}{
		"store reachable from both":     {},
		"store reachable from one side": {lonely: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := smallSpec()
			s.Network, s.BodyBytes = true, 40<<10
			d := deploy(t, s)
			forward := watchRevisions(d)
			north, south := startRegionLoad(d, "board", false, "north"), startRegionLoad(d, "board", false, "south")
			booked := startRegionLoad(d, "booking", true, "north")
			time.Sleep(warmUp)
			injected := time.Now()
			set := func(w fleet.Path) {
				d.Part("north", "south", w)
				for _, h := range d.Hosts {
					if test.lonely && h.Region == "south" {
						d.Network.Set(h.Name, fleet.StoreName, w)
					}
				}
			}
			set(fleet.Path{Silent: true})
			revision := d.ApplyDeadline(1900)
			time.Sleep(silentFor)
			for _, h := range d.Hosts {
				if owned, err := fleet.Gauge(h.EntryAdmin, "ebony_owned_objects"); err != nil || owned == 0 {
					t.Errorf("%s lost its objects: %v, %v", h.Name, owned, err)
				}
			}
			healed := time.Now()
			set(fleet.Path{})
			took := fleet.Eventually(t, fleet.ReadyTimeout, func() error { return d.AllAt(revision) })
			time.Sleep(healedFor - took)
			northern, southern, bookings := north.finish(), south.finish(), booked.finish()
			assertLimits(d)
			assertTruth(t, d, "booking", bookings)
			assertAffected(t, "callers of the north", northern, injected, healed)
			assertAffected(t, "callers of the south", southern, injected, healed)
			assertAffected(t, "bookings", bookings, injected, healed)
			t.Logf("settings of the time of the fault in force everywhere %v after its end", took)
			assert.Assert(t, took <= affectedLimit, "in force after %v", took)
			forward.assertForward(revision)
		})
	}
}
