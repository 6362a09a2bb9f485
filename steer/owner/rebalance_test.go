package owner_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/steer/owner"
)

// roundsUntilBalanced bounds the rounds until a joining member has its share: 5 s with one check every 500 ms.
const roundsUntilBalanced = 10

// TestRebalanceIsFast guards against a start after which the first member owns most objects for a long time. Releasing
// one object at a time took 24 rounds for 96 targets, and a crash in that time made most of the slots unavailable.
func TestRebalanceIsFast(t *testing.T) {
	r := newRegion(96)
	for _, h := range hosts {
		assert.NilError(t, r.steers[h.Host].Join(context.Background(), h.Host+"1"))
	}
	rounds := 0
	for changed := true; changed; rounds++ {
		changed = r.rebalanceOnce(t)
	}
	for host, n := range counts(r.document(t)) {
		assert.Equal(t, n, 24, "host %s", host)
	}
	assert.Assert(t, rounds <= roundsUntilBalanced, "%d rounds", rounds)
}

// rebalanceOnce applies the advice for the same document to each member once and reports whether there was any.
func (r *region) rebalanceOnce(t *testing.T) bool {
	t.Helper()
	d := r.document(t)
	changed := false
	for name, m := range d.Members {
		a := owner.Advise(d, name, owner.Objects(r.source.Current(), "luzon"), zones())
		if len(a.Release) == 0 {
			continue
		}
		changed = true
		c := core.LeaseChange{Host: name, Incarnation: m.Incarnation, Region: "luzon", Release: map[string]int64{}}
		for _, o := range a.Release {
			c.Release[o] = d.Objects[o].Since
		}
		assert.Equal(t, r.steers[name].Change(context.Background(), c).Outcome, core.LeaseApplied)
	}
	return changed
}
