package share_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/share"
)

// TestElectionInObjectStore guards against two coordinators in the product's own store, a record that is lost between processes, and a
// value of another writer that stops all elections.
func TestElectionInObjectStore(t *testing.T) {
	clock, memory := timer.NewManual(), store.NewMemory()
	_, err := memory.Put(t.Context(), core.KeyQuotaCoordinator, []byte("x"), 0)
	assert.NilError(t, err)
	start := func(host, address string) *share.Elector {
		self := core.Host{Host: host, Incarnation: "i", LinkAddress: address}
		return share.NewElector(self, share.NewObjectStore(memory), bounds, false, clock, zap.NewNop())
	}
	a, b := start("a", "10.0.0.1:7"), start("b", "10.0.0.2:7")
	for range 6 {
		_, err = a.Find(t.Context())
		assert.NilError(t, err)
		clock.Advance(time.Second)
	}
	for range 10 {
		record, err := b.Find(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, record.Host, "a")
		assert.NilError(t, a.Renew(t.Context()))
		clock.Advance(time.Second)
	}
	for range 6 {
		_, err = b.Find(t.Context())
		assert.NilError(t, err)
		clock.Advance(time.Second)
	}
	record, err := a.Find(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, record.Host, "b")
}
