package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/entry/retry"
)

// noSettings has no settings in force.
type noSettings struct{ core.SettingsSource }

// BenchmarkRecordAttempt measures what each arriving request takes, from all cores at once.
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
