package roster_test

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/roster"
)

// TestRank guards against two hosts with the same rank, which would both use one part of a quota's fallback, and against ranks
// that prefer hosts which lookups do not name.
func TestRank(t *testing.T) {
	hosts := []core.Host{host("a", "r1", "z1"), host("b", "r1", "z2"), host("c", "r1", "z1"), host("d", "r2", "z3"), host("e", "r3", "z4")}
	hosts[2].Capacity = 2
	want := map[string]int{"c": 0, "d": 1, "e": 2, "a": 3, "b": 4}
	for _, self := range hosts {
		links := &fakeLinks{map[string]bool{}, map[string]bool{}}
		r := roster.New(self, links, timer.NewManual(), zap.NewNop())
		rank, _ := r.Rank()
		assert.Equal(t, rank, -1, "no host is registered yet")
		r.Reset(hosts)
		rank, count := r.Rank()
		assert.Equal(t, rank, want[self.Host], self.Host)
		assert.Equal(t, count, len(hosts))
	}
}
