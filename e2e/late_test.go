package e2e_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

// Guards against a caller that receives the late response to another request, a partial response or a mix of the responses
// to two attempts, and against a key that runs twice because a response about it was late. Jitter and stalls delay some
// responses between hosts beyond the hedging delay and the attempt timeout, so that they arrive after another attempt has
// started. Jitter also delays the responses of the store.
func TestLateResponses(t *testing.T) {
	t.Parallel()
	deadline, tryTimeout, hedgeAfter, percent := int64(800), int64(100), int64(40), int64(50)
	s := faultSpec()
	s.Network, s.BodyBytes = true, 100<<10
	s.Policy = core.Policy{DeadlineMs: &deadline, HedgeAfterMs: &hedgeAfter, HedgePercent: &percent, TryTimeoutMs: &tryTimeout}
	d := deploy(t, s)
	revisions := watchRevisions(d)
	for i, a := range d.Hosts {
		d.Network.SetPaths(a.Name, fleet.StoreName, fleet.Path{Jitter: 40 * time.Millisecond})
		for _, b := range d.Hosts[:i] {
			d.Network.SetPaths(a.Name, b.Name, fleet.Path{Jitter: 60 * time.Millisecond, Stall: 500 * time.Millisecond, ChunksPerStall: 30})
		}
	}
	// There are more callers than slots at their host, so that most requests are relayed through a second host.
	reads := startFlood(d, "board", d.Hosts[0].CallerAddress, 16)
	bookings := startLoad(d, "booking", true)
	time.Sleep(8 * time.Second)
	readResults, bookingResults := reads.finish(), bookings.finish()
	assertLimits(d)
	assertReportedRuns(t, d, "booking", bookingResults)
	lateReplies := 0.0
	for _, h := range d.Hosts {
		n, err := fleet.Metric(h.EntryAdmin, "ebony_links_late_replies_total")
		assert.NilError(t, err)
		lateReplies += n
	}
	t.Logf("reads %v, bookings %v, %v late replies on links", summary(readResults), summary(bookingResults), lateReplies)
	for _, r := range append(readResults, bookingResults...) {
		assert.Assert(t, !errors.Is(r.err, errMismatch), "%+v", r.response)
	}
	assert.Assert(t, lateReplies > 0, "no response was late")
	revisions.assertReached(1)
}
