package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against each kind of misbehaviour of single upstream targets: callers must not be affected for longer than the
// stated time, and no key may run twice.
func TestUpstreamFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		behaviour string
	}{
		"accepts and never answers":   {behaviour: `{"hang":true}`},
		"fails fast":                  {behaviour: `{"fail":true}`},
		"sheds load":                  {behaviour: `{"shed":true}`},
		"connections go silent":       {behaviour: `{"silent":true}`},
		"claims free slots and hangs": {behaviour: `{"hang":true,"false_free_slots":100,"false_health":"ok"}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, faultSpec())
			reads, bookings := startLoad(d, "board", false), startLoad(d, "booking", true)
			time.Sleep(warmUp)
			injected := time.Now()
			d.Order("board", d.Targets["board"][0], test.behaviour)
			d.Order("booking", d.Targets["booking"][0], test.behaviour)
			time.Sleep(2 * affectedLimit)
			read, booked := reads.finish(), bookings.finish()
			assertLimits(d)
			assertTruth(t, d, "booking", booked)
			t.Logf("reads %v, last failure after %v; bookings %v, last failure after %v",
				summary(read), lastFailure(read, injected), summary(booked), lastFailure(booked, injected))
			assert.Assert(t, lastFailure(read, injected) <= affectedLimit, "reads: %v", firstFailures(read))
			assert.Assert(t, lastFailure(booked, injected) <= affectedLimit, "bookings: %v", firstFailures(booked))
		})
	}
}
