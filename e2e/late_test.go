package e2e_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

// Guards against a caller that gets the late answer to another request, a part of an answer or the answer of a second
// attempt mixed with the first, and against a key that runs twice because an answer about it came late: answers between
// hosts and from the store vary by more than the time after which they are given up or asked for elsewhere.
func TestLateAnswers(t *testing.T) {
	t.Parallel()
	deadline, try, hedge, percent := int64(800), int64(100), int64(40), int64(50)
	s := faultSpec()
	s.Network, s.BodyBytes = true, 100<<10
	s.Policy = core.Policy{DeadlineMs: &deadline, HedgeAfterMs: &hedge, HedgePercent: &percent, TryTimeoutMs: &try}
	d := deploy(t, s)
	forward := watchRevisions(d)
	for i, x := range d.Hosts {
		d.Network.Set(x.Name, fleet.StoreName, fleet.Path{Jitter: 40 * time.Millisecond})
		for _, y := range d.Hosts[:i] {
			d.Network.Set(x.Name, y.Name, fleet.Path{Jitter: 60 * time.Millisecond, Stall: 500 * time.Millisecond, StallEach: 30})
		}
	}
	// More callers than the slots of their host make most requests pass a second host.
	reads := startFlood(d, "board", d.Hosts[0].Caller, 16)
	bookings := startLoad(d, "booking", true)
	time.Sleep(8 * time.Second)
	read, booked := reads.finish(), bookings.finish()
	assertLimits(d)
	assertTruth(t, d, "booking", booked)
	late := 0.0
	for _, h := range d.Hosts {
		n, err := fleet.Gauge(h.EntryAdmin, "ebony_links_late_replies_total")
		assert.NilError(t, err)
		late += n
	}
	t.Logf("reads %v, bookings %v, %v late replies on links", summary(read), summary(booked), late)
	for _, r := range append(read, booked...) {
		assert.Assert(t, !errors.Is(r.err, errMismatch), "%+v", r.answer)
	}
	assert.Assert(t, late > 0, "no answer was late")
	forward.assertForward(1)
}
