package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/retry"
)

// fixture is a settings source and a manually advanced clock.
type fixture struct {
	core.Timer
	now core.Instant
}

func (f *fixture) Current() *core.Snapshot {
	return &core.Snapshot{Policies: map[string]map[string]core.EffectivePolicy{"s": {"z": {RetryPercent: 10}}}}
}

func (f *fixture) Now() core.Instant { return f.now }

// Guards against retries that multiply the load of a failing service: they are limited to a share of the attempts in the
// window, with a small minimum.
func TestRetriesAreLimitedToShareOfAttempts(t *testing.T) {
	f := &fixture{now: core.Instant(time.Hour)}
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
	assert.Equal(t, allowed(), 0, "attempts and retries are still within the window")
	f.now = f.now.Add(time.Second)
	assert.Equal(t, allowed(), 3, "expired attempts must not permit retries")
	assert.Assert(t, !b.AllowHedge("s"), "no hedges are permitted without a hedge share")
}
