package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/entry/retry"
)

// noSettings is a settings source without settings.
type noSettings struct{ core.SettingsSource }

// BenchmarkRecordAttempt measures the overhead of each incoming request, concurrently on all cores.
func BenchmarkRecordAttempt(b *testing.B) {
	clock, err := timer.NewSystem()
	assert.NilError(b, err)
	budget := retry.New(noSettings{}, clock, "z1")
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.RecordAttempt("s")
		}
	})
}
