package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestHostsFeed guards against an entry process that keeps using an old list of hosts after a change, a restart, a
// broken link or a lost message.
func TestHostsFeed(t *testing.T) {
	old := core.HostsUpdate{Hosts: []core.Host{{Host: "a"}}}
	for name, tc := range map[string]struct {
		alive       []bool
		incarnation string
		later       core.Instant
		update      core.HostsUpdate
		want        int
	}{
		"unchanged":  {alive: []bool{true, true, true}, incarnation: "1", update: old, want: 0},
		"keep alive": {alive: []bool{true, true, true}, incarnation: "1", later: core.Instant(hostsKeepAlive), update: old, want: 1},
		"restart":    {alive: []bool{true, true, true}, incarnation: "2", update: old, want: hostsRepeats},
		"link":       {alive: []bool{false, true, true, true}, incarnation: "1", update: old, want: hostsRepeats},
		"host":       {alive: []bool{true, true, true}, incarnation: "1", want: hostsRepeats},
		"suspicion":  {alive: []bool{true, true, true}, incarnation: "1", update: core.HostsUpdate{Hosts: old.Hosts, Suspected: []string{"a"}}, want: hostsRepeats},
		"store":      {alive: []bool{true, true, true}, incarnation: "1", update: core.HostsUpdate{Hosts: old.Hosts, StoreDown: true}, want: hostsRepeats},
	} {
		t.Run(name, func(t *testing.T) {
			f := &hostsFeed{}
			now := core.Instant(1)
			for range hostsRepeats {
				assert.Assert(t, f.due(old, "1", true, now))
			}
			sent := 0
			for _, alive := range tc.alive {
				if f.due(tc.update, tc.incarnation, alive, now+tc.later) {
					sent++
				}
			}
			assert.Equal(t, sent, tc.want)
		})
	}
}
