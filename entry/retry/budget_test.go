package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/retry"
)

// fakeWorld is the settings and the time of one process.
type fakeWorld struct {
	core.Timer
	now core.Instant
}

func (f *fakeWorld) Current() *core.Snapshot {
	return &core.Snapshot{Policies: map[string]map[string]core.EffectivePolicy{"s": {"z": {RetryPercent: 10}}}}
}

func (f *fakeWorld) Now() core.Instant { return f.now }

// Guards against retries that multiply the load of a failing service.
func TestRetriesAreAShareOfRecentAttempts(t *testing.T) {
	f := &fakeWorld{now: core.Instant(time.Hour)}
	b := retry.New(f, f, "z")
	allowed := func() int {
		n := 0
		for b.AllowRetry("s") {
			n++
		}
		return n
	}
	assert.Equal(t, allowed(), 3, "a service with few requests keeps a small minimum")
	for range 200 {
		b.RecordAttempt("s")
	}
	assert.Equal(t, allowed(), 17)
	f.now = f.now.Add(9 * time.Second)
	assert.Equal(t, allowed(), 0, "the window has not passed")
	f.now = f.now.Add(time.Second)
	assert.Equal(t, allowed(), 3, "old attempts must not pay for retries")
	assert.Assert(t, !b.AllowHedge("s"), "no hedges without a share")
}
