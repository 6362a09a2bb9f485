package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// Guards against a new owner that waits only for a shortened deadline while requests with the old deadline are in flight.
func TestDeadlinesNeverShrink(t *testing.T) {
	revision := func(north, south int64) *core.Snapshot {
		return &core.Snapshot{Policies: map[string]map[string]core.EffectivePolicy{
			"bookings": {"north-a": {DeadlineMs: north}, "south-a": {DeadlineMs: south}},
		}}
	}
	d := &deadlines{}
	d.add(revision(2000, 9000))
	d.add(revision(1000, 1000))
	assert.Equal(t, d.forObject(core.TargetObject("bookings", "t1")), 9*time.Second)
	assert.Equal(t, d.forObject(core.ShiftObject("bookings", "north", "south")), 9*time.Second)
	assert.Equal(t, d.forObject(core.TargetObject("other", "t1")), time.Duration(0))
}
