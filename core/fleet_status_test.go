package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestFleetRevisions guards against a lowest revision that never rises because it includes the last report of a stopped
// entry process, and against one that omits a host whose entry process has never reported.
func TestFleetRevisions(t *testing.T) {
	host := func(entry, steer, ageMs int64) core.HostStatus {
		return core.HostStatus{Answered: true, Entry: core.EntryStatus{Revision: entry}, EntryAgeMs: ageMs, SteerRevision: steer}
	}
	for name, tc := range map[string]struct {
		hosts  []core.HostStatus
		lowest int64
		counts map[int64]int
	}{
		"none":           {nil, 0, map[int64]int{}},
		"no response":    {[]core.HostStatus{{}, host(7, 7, 100)}, 7, map[int64]int{7: 1}},
		"entry behind":   {[]core.HostStatus{host(6, 7, 100), host(7, 7, 100)}, 6, map[int64]int{6: 1, 7: 1}},
		"steer behind":   {[]core.HostStatus{host(7, 5, 100), host(7, 7, 100)}, 5, map[int64]int{5: 1, 7: 1}},
		"entry stopped":  {[]core.HostStatus{host(3, 7, 2001), host(7, 7, 2000)}, 7, map[int64]int{7: 2}},
		"never reported": {[]core.HostStatus{host(0, 7, 0), host(7, 7, 100)}, 0, map[int64]int{0: 1, 7: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			status := core.FleetStatus{Hosts: tc.hosts}
			assert.Equal(t, status.Lowest(), tc.lowest)
			assert.DeepEqual(t, status.Revisions(), tc.counts)
		})
	}
}
