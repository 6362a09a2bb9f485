package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

// Guards against callers that are affected for too long, broken limits, and settings that revert or do not arrive when the
// network between two running regions is partitioned. The region north always reaches the store.
func TestPartitionedRegions(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// isolated is set if the south cannot reach the store either.
		isolated bool
	}{
		"store reachable from both":     {},
		"store reachable from one side": {isolated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := smallSpec()
			s.Network, s.BodyBytes = true, 40<<10
			d := deploy(t, s)
			revisions := watchRevisions(d)
			north, south := startRegionLoad(d, "board", false, "north"), startRegionLoad(d, "board", false, "south")
			bookings := startRegionLoad(d, "booking", true, "north")
			time.Sleep(warmUp)
			injected := time.Now()
			setPaths := func(p fleet.Path) {
				d.SetRegionPaths("north", "south", p)
				for _, h := range d.Hosts {
					if test.isolated && h.Region == "south" {
						d.Network.SetPaths(h.Name, fleet.StoreName, p)
					}
				}
			}
			setPaths(fleet.Path{Blackhole: true})
			revision := d.ApplyDeadline(1900)
			time.Sleep(faultDuration)
			for _, h := range d.Hosts {
				if owned, err := fleet.Metric(h.EntryAdmin, "ebony_owned_objects"); err != nil || owned == 0 {
					t.Errorf("host %s lost its owned objects: %v, %v", h.Name, owned, err)
				}
			}
			recovered := time.Now()
			setPaths(fleet.Path{})
			elapsed := fleet.Eventually(t, fleet.ReadyTimeout, func() error { return d.CheckMetricRevision(revision) })
			time.Sleep(recoveryTime - elapsed)
			northResults, southResults, bookingResults := north.finish(), south.finish(), bookings.finish()
			assertLimits(d)
			assertReportedRuns(t, d, "booking", bookingResults)
			assertRecovery(t, "callers of the north", northResults, injected, recovered)
			assertRecovery(t, "callers of the south", southResults, injected, recovered)
			assertRecovery(t, "bookings", bookingResults, injected, recovered)
			t.Logf("settings applied during the fault in force everywhere %v after its end", elapsed)
			assert.Assert(t, elapsed <= affectedLimit, "settings in force only after %v", elapsed)
			revisions.assertReached(revision)
		})
	}
}
