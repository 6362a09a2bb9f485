package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the consequences of a single faulty upstream target: callers must not be affected for longer than
// affectedLimit, and no key may run twice.
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
			d.SetBehaviour("board", d.Targets["board"][0], test.behaviour)
			d.SetBehaviour("booking", d.Targets["booking"][0], test.behaviour)
			time.Sleep(2 * affectedLimit)
			readResults, bookingResults := reads.finish(), bookings.finish()
			assertLimits(d)
			assertReportedRuns(t, d, "booking", bookingResults)
			t.Logf("reads %v, last failure after %v; bookings %v, last failure after %v",
				summary(readResults), lastFailure(readResults, injected), summary(bookingResults), lastFailure(bookingResults, injected))
			assert.Assert(t, lastFailure(readResults, injected) <= affectedLimit, "reads: %v", firstFailures(readResults))
			assert.Assert(t, lastFailure(bookingResults, injected) <= affectedLimit, "bookings: %v", firstFailures(bookingResults))
		})
	}
}
