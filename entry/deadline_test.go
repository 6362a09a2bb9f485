package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// Guards against a takeover that waits only for the shortened deadline while requests with the old one are in flight.
func TestDeadlinesNeverShrink(t *testing.T) {
	revision := func(north, south int64) *core.Snapshot {
		return &core.Snapshot{Policies: map[string]map[string]core.EffectivePolicy{
			"bookings": {"north-a": {DeadlineMs: north}, "south-a": {DeadlineMs: south}},
		}}
	}
	d := &deadlines{}
	d.adopt(revision(2000, 9000))
	d.adopt(revision(1000, 1000))
	assert.Equal(t, d.of(core.TargetObject("bookings", "t1")), 9*time.Second)
	assert.Equal(t, d.of(core.ShiftObject("bookings", "north", "south")), 9*time.Second)
	assert.Equal(t, d.of(core.TargetObject("other", "t1")), time.Duration(0))
}
