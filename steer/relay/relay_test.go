package relay_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/steer/relay"
)

// TestWatch guards against changes that a relay passes on incompletely, or as current although they are not. Host a is the relay and has
// recorded the changes up to revision 30 of era 0; b asks it for those after 20 in the same era.
func TestWatch(t *testing.T) {
	large := strings.Repeat("x", 500<<10)
	many := make([]string, 1025)
	cases := map[string]struct {
		change     func(*zone)
		after, era int64
		// want holds the objects of the changes; err is a part of the error if there are none.
		want []string
		asOf int64
		err  string
	}{
		"known":                       {nil, 20, 0, []string{"c"}, 30, ""},
		"from the begin":              {nil, 10, 0, []string{"b", "c"}, 30, ""},
		"inside of a response":        {nil, 15, 0, []string{"b", "c"}, 30, ""},
		"no change":                   {nil, 30, 0, nil, 30, ""},
		"relay is behind":             {nil, 35, 0, nil, 35, ""},
		"before the begin":            {nil, 9, 0, nil, 0, "not found"},
		"later era":                   {nil, 20, 1, nil, 0, "not found"},
		"relay is in a later era":     {func(z *zone) { z.record("a", 25, 25, 1) }, 20, 0, nil, 0, "not found"},
		"response with a gap":         {func(z *zone) { z.record("a", 40, 50, 0, "d") }, 20, 0, nil, 0, "not found"},
		"response after a gap":        {func(z *zone) { z.record("a", 40, 50, 0, "d") }, 40, 0, []string{"d"}, 50, ""},
		"response of an older view":   {func(z *zone) { z.record("a", 15, 25, 0, "d") }, 20, 0, []string{"d"}, 25, ""},
		"listed again":                {func(z *zone) { z.record("a", 40, 40, 0) }, 30, 0, nil, 0, "not found"},
		"listed without changes":      {func(z *zone) { z.record("a", 30, 30, 0) }, 20, 0, []string{"c"}, 30, ""},
		"failed call":                 {func(z *zone) { z.hosts["a"].RecordFailure(kind) }, 20, 0, nil, 0, "not found"},
		"failed call, then response":  {func(z *zone) { z.hosts["a"].RecordFailure(kind); z.record("a", 30, 31, 0) }, 20, 0, []string{"c"}, 31, ""},
		"too large for a reply":       {func(z *zone) { z.record("a", 30, 40, 0, large, large) }, 20, 0, nil, 0, "too large"},
		"too many to keep":            {func(z *zone) { z.record("a", 30, 40, 0, many...) }, 20, 0, nil, 0, "not found"},
		"restarted":                   {func(z *zone) { z.start("a") }, 20, 0, nil, 0, "not found"},
		"restarted with older view":   {func(z *zone) { z.start("a"); z.record("a", 12, 12, 0) }, 20, 0, nil, 20, ""},
		"out of contact":              {func(z *zone) { z.clock.Advance(maxAge + step) }, 20, 0, nil, 0, "are those of"},
		"killed":                      {func(z *zone) { z.killed["a"] = true }, 20, 0, nil, 0, "link down"},
		"paused":                      {func(z *zone) { z.paused["a"] = true }, 20, 0, nil, 0, "no reply"},
		"no relay any more":           {func(z *zone) { z.relays["a"] = []string{"b"} }, 20, 0, nil, 0, "not found"},
		"zone without relays":         {func(z *zone) { z.relays["b"] = nil }, 20, 0, nil, 0, "no relay of the zone to ask"},
		"both are relays":             {func(z *zone) { z.relays["b"] = []string{"b"} }, 20, 0, nil, 0, "no relay of the zone to ask"},
		"each takes the other for it": {func(z *zone) { z.relays["a"] = []string{"b"} }, 20, 0, nil, 0, "not found"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			z := newZone(t, "a", "b")
			z.record("a", 10, 20, 0, "b")
			z.record("a", 20, 30, 0, "c")
			if c.change != nil {
				c.change(z)
			}
			got := z.wait(t, z.watch(t.Context(), "b", c.after, c.era))
			assert.Assert(t, got.took <= relay.MaxWait+500*time.Millisecond+step, "%v", got.took)
			if c.err != "" {
				assert.ErrorContains(t, got.err, c.err)
				return
			}
			assert.NilError(t, got.err)
			var objects []string
			for _, change := range got.Changes {
				objects = append(objects, string(change.Object))
			}
			assert.DeepEqual(t, objects, c.want)
			assert.Equal(t, got.AsOf, c.asOf)
			assert.Equal(t, len(got.Unchanged), 1)
			assert.Equal(t, got.Unchanged[0].AsOf, c.era+1)
		})
	}
}

// TestWaitingRequests guards against a request that is held although the relay has a change, or although it cannot know of one any more.
func TestWaitingRequests(t *testing.T) {
	cases := map[string]struct {
		change func(*zone)
		// changes is the number of changes that the request returns, err a part of the error if it fails.
		changes int
		err     string
		most    time.Duration
	}{
		"change":                  {func(z *zone) { z.record("a", 20, 30, 0, "c") }, 1, "", step},
		"response without one":    {func(z *zone) { z.record("a", 20, 30, 0) }, 0, "", relay.MaxWait},
		"failed call":             {func(z *zone) { z.hosts["a"].RecordFailure(kind) }, 0, "not found", step},
		"listed again":            {func(z *zone) { z.record("a", 40, 40, 0) }, 0, "not found", step},
		"listed in another era":   {func(z *zone) { z.record("a", 20, 20, 1) }, 0, "not found", step},
		"stopped being the relay": {func(z *zone) { z.mutex.Lock(); z.relays["a"] = nil; z.mutex.Unlock() }, 0, "", relay.MaxWait},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			z := newZone(t, "a", "b")
			z.record("a", 10, 20, 0, "b")
			w := z.watch(t.Context(), "b", 20, 0)
			time.Sleep(20 * time.Millisecond)
			c.change(z)
			got := z.wait(t, w)
			assert.Assert(t, got.took <= c.most+2*step, "%v", got.took)
			if c.err != "" {
				assert.ErrorContains(t, got.err, c.err)
				return
			}
			assert.NilError(t, got.err)
			assert.Equal(t, len(got.Changes), c.changes)
		})
	}
}

// TestStaleReadsAreNotCurrent guards against a relay that passes on serializable reads, which may be seconds old, as the newest state, as it
// did in the first seconds after its start.
func TestStaleReadsAreNotCurrent(t *testing.T) {
	z := newZone(t, "a", "b")
	z.hosts["a"].Record(kind, &relay.Response{After: 10, AsOf: 20, Changes: changes("b")})
	got := z.wait(t, z.watch(t.Context(), "b", 20, 0))
	assert.ErrorContains(t, got.err, "are those of")
	assert.Equal(t, got.took, time.Duration(0), "a request that cannot be answered was held")
	z.record("a", 20, 20, 0)
	assert.NilError(t, z.wait(t, z.watch(t.Context(), "b", 20, 0)).err)
}

// TestSilentRelaysAreLeftInTime guards against a host that waits for a relay for so long that a change reaches it more than 4 s late: the
// watch of the relay is silent, and the relay is paused at any time after that.
func TestSilentRelaysAreLeftInTime(t *testing.T) {
	for pausedAfter := time.Duration(0); pausedAfter < maxAge; pausedAfter += 230 * time.Millisecond {
		z := newZone(t, "a", "b")
		z.record("a", 10, 20, 0, "b")
		silentAt := z.clock.Now()
		var got result
		for w := z.watch(t.Context(), "b", 20, 0); got.err == nil; {
			select {
			case got = <-w:
				if got.err == nil {
					w = z.watch(t.Context(), "b", 20, 0)
				}
			case <-time.After(time.Millisecond):
				z.clock.Advance(step)
			}
			z.mutex.Lock()
			if z.clock.Now().Sub(silentAt) >= pausedAfter {
				z.paused["a"] = true
			}
			z.mutex.Unlock()
		}
		late := z.clock.Now().Sub(silentAt)
		assert.Assert(t, late <= 3300*time.Millisecond, "paused after %v, left after %v", pausedAfter, late)
	}
}

// TestLateReplies guards against a reply that is taken for the reply to a later request, and against a wait for it.
func TestLateReplies(t *testing.T) {
	z := newZone(t, "a", "b")
	z.record("a", 10, 20, 0, "b")
	z.delay = 3 * time.Second
	got := z.wait(t, z.watch(t.Context(), "b", 10, 0))
	assert.ErrorIs(t, got.err, relay.ErrRelayFailed)
	assert.Assert(t, got.took <= relay.MaxWait+500*time.Millisecond+2*step, "%v", got.took)
}

// TestCanceledWatch guards against a stopping host, or one that has to list again, that waits for a relay or counts it as failed.
func TestCanceledWatch(t *testing.T) {
	z := newZone(t, "a", "b")
	z.record("a", 10, 20, 0, "b")
	ctx, cancel := context.WithCancel(t.Context())
	w := z.watch(ctx, "b", 20, 0)
	cancel()
	got := <-w
	assert.ErrorIs(t, got.err, context.Canceled)
}

// TestInvalidRequests guards against a relay that answers requests which it cannot understand.
func TestInvalidRequests(t *testing.T) {
	z := newZone(t, "a", "b")
	z.record("a", 10, 20, 0, "b")
	for name, payload := range map[string][]byte{"empty": nil, "garbled": []byte("x"), "wrong type": {0x94, 1, 2, 3, 4}} {
		t.Run(name, func(t *testing.T) {
			_, err := z.handlers["a"](t.Context(), "b", payload)
			assert.Assert(t, err != nil)
		})
	}
	_, err := z.hosts["b"].Watch(t.Context(), "other", 10, 0)
	assert.ErrorIs(t, err, relay.ErrNoRelay)
	assert.Assert(t, !z.hosts["a"].Serves("other") && z.hosts["a"].Serves(kind) && !z.hosts["b"].Serves(kind))
}
