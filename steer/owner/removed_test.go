package owner_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/steer/owner"
)

// TestRemovedIncarnationDoesNotReturn guards against a steer that lets a dead entry process, whose last report it still
// has, join again. The process got objects that were unusable until it was revoked a second time.
func TestRemovedIncarnationDoesNotReturn(t *testing.T) {
	r := newRegion(4)
	r.join(t, "a", "b", "c", "d")
	reply := r.steers["a"].Revoke(context.Background(), r.revocation(t, "b", 2))
	assert.Equal(t, reply.Outcome, core.LeaseApplied)
	assert.NilError(t, r.steers["b"].Refresh(context.Background()))
	assert.ErrorIs(t, r.steers["b"].Join(context.Background(), "b1"), owner.ErrRemoved)
	assert.NilError(t, r.steers["b"].Join(context.Background(), "b2"))
}

// TestIsolatedHostDoesNotRejoin guards against a host that reaches the store but no other host and joins again after
// each removal. Every 2.5 s it got objects, which were unusable until it was removed again and their next owners had
// waited.
func TestIsolatedHostDoesNotRejoin(t *testing.T) {
	r := newRegion(4)
	r.join(t, "a", "b", "c", "d")
	reply := r.steers["a"].Revoke(context.Background(), r.revocation(t, "b", 2))
	assert.Equal(t, reply.Outcome, core.LeaseApplied)
	all := r.liveHosts
	r.liveHosts = hostList{hosts[1]}
	b := r.steers["b"]
	b.SetLocalIncarnation("b2")
	member := func() string {
		assert.NilError(t, b.Refresh(context.Background()))
		b.Tick(context.Background())
		return r.document(t).Members["b"].Incarnation
	}
	assert.Equal(t, member(), "")
	r.liveHosts = all
	assert.Equal(t, member(), "b2", "a host that sees a live member does not join")
	reply = r.steers["a"].Revoke(context.Background(), r.revocation(t, "b", 2))
	assert.Equal(t, reply.Outcome, core.LeaseApplied)
	r.liveHosts = hostList{hosts[1]}
	b.SetLocalIncarnation("b3")
	assert.Equal(t, member(), "")
	r.clock.now = r.clock.now.Add(time.Minute)
	assert.Equal(t, member(), "b3", "the last host of a region does not join")
}
