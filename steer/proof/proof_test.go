package proof_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// setStore sets what the store does with the calls of some hosts.
func (r *region) setStore(fault storeFault, hosts ...int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, n := range hosts {
		r.hosts[n].store = fault
	}
}

func (r *region) setCallTime(d time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.callTime = d
}

// TestHostsWithAPathGoOn guards against requests that are refused although the host can get a proof: from the store, or from a reader
// of its region. Hosts 0 and 1 are the readers; 0, 2 and 3 have requests.
func TestHostsWithAPathGoOn(t *testing.T) {
	all := []int{0, 1, 2, 3, 4}
	cases := map[string]struct {
		fault func(*region)
		// callsPerSecond is the number of calls to the store by all hosts.
		callsPerSecond float64
	}{
		"no fault":                          {func(*region) {}, 0.9},
		"host cut from the store":           {func(r *region) { r.setStore(storeSilent, 2) }, 0.9},
		"host cut from its readers":         {func(r *region) { r.cut("h2", "h0", true); r.cut("h2", "h1", true) }, 1.8},
		"host cut from the first reader":    {func(r *region) { r.cut("h2", "h0", true) }, 1.8},
		"reader cut from the store":         {func(r *region) { r.setStore(storeSilent, 0) }, 3},
		"reader refused by the store":       {func(r *region) { r.setStore(storeRefuses, 0) }, 3},
		"both readers cut from the store":   {func(r *region) { r.setStore(storeSilent, 0, 1) }, 6},
		"first reader killed":               {func(r *region) { r.hosts[0].kill() }, 0.9},
		"both readers killed":               {func(r *region) { r.hosts[0].kill(); r.hosts[1].kill() }, 0.9},
		"first reader paused":               {func(r *region) { r.hosts[0].pause() }, 1.2},
		"both readers paused":               {func(r *region) { r.hosts[0].pause(); r.hosts[1].pause() }, 1.8},
		"store slow":                        {func(r *region) { r.setCallTime(60 * storeTime) }, 0.9},
		"store slow and refuses some":       {func(r *region) { r.setCallTime(60 * storeTime); r.setStore(storeRefuses, 2, 4) }, 0.9},
		"store slow, silent for the reader": {func(r *region) { r.setCallTime(60 * storeTime); r.setStore(storeSilent, 0) }, 4},
		"all believe to be the reader":      {func(r *region) { r.first = func(self string) string { return self } }, 2.7},
		"host restarted":                    {func(r *region) { r.hosts[2].kill(); r.hosts[2].start() }, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const span = 20
				r := newRegion(t, len(all), 1)
				defer r.close()
				r.run(5*time.Second, 0, 2, 3)
				r.forget()
				c.fault(r)
				r.run(span*time.Second, 0, 2, 3)
				for _, n := range []int{0, 2, 3} {
					assert.Equal(t, r.hosts[n].refused, 0, "host %d", n)
				}
				t.Logf("%.2f calls a second", float64(r.calls)/span)
				assert.Assert(t, float64(r.calls) <= c.callsPerSecond*span, "%d calls", r.calls)
			})
		})
	}
}

// TestHostsWithoutPathRefuse guards against a key that is accepted by a proof older than the limit, and against a host that still
// refuses keys after the fault has ended.
func TestHostsWithoutPathRefuse(t *testing.T) {
	cases := map[string]struct{ begin, end func(*region) }{
		"store down": {
			func(r *region) { r.setStore(storeRefuses, 0, 1, 2) }, func(r *region) { r.setStore(storeWorks, 0, 1, 2) },
		},
		"store silent": {
			func(r *region) { r.setStore(storeSilent, 0, 1, 2) }, func(r *region) { r.setStore(storeWorks, 0, 1, 2) },
		},
		"host cut from store and readers": {
			func(r *region) { r.setStore(storeSilent, 2); r.cut("h2", "h0", true); r.cut("h2", "h1", true) },
			func(r *region) { r.setStore(storeWorks, 2); r.cut("h2", "h0", false); r.cut("h2", "h1", false) },
		},
		"store slower than the limit": {
			func(r *region) { r.setCallTime(4 * time.Second) }, func(r *region) { r.setCallTime(storeTime) },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(t, 3, 1)
				defer r.close()
				r.run(5*time.Second, 2)
				r.forget()
				c.begin(r)
				began := time.Now()
				r.run(10*time.Second, 2)
				h := r.hosts[2]
				assert.Assert(t, h.lastAccepted.Sub(began) <= maxAge, "accepted after %v", h.lastAccepted.Sub(began))
				assert.Assert(t, h.firstRefused.Sub(began) >= maxAge/2, "refused after %v", h.firstRefused.Sub(began))
				c.end(r)
				r.run(2*time.Second, 2)
				r.forget()
				r.run(5*time.Second, 2)
				assert.Equal(t, h.refused, 0)
				assert.Equal(t, h.violation, "")
			})
		})
	}
}

// TestPauseAgesTheProof guards against a host that accepts a withdrawn key after a pause or suspend of its process, by a proof or by an
// answer from before.
func TestPauseAgesTheProof(t *testing.T) {
	for name, paused := range map[string]int{"reader": 0, "host": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for offset := range 60 {
					pauseAt(t, paused, 5*time.Second+time.Duration(offset)*20*time.Millisecond)
				}
			})
		})
	}
}

// pauseAt pauses a host at the given time, withdraws a key meanwhile and cuts the host from the store before it continues.
func pauseAt(t *testing.T, paused int, at time.Duration) {
	r := newRegion(t, 3, 1)
	defer r.close()
	r.setCallTime(60 * storeTime)
	r.run(at, 0, 2)
	r.hosts[paused].pause()
	r.withdraw()
	time.Sleep(10 * time.Second)
	r.setStore(storeSilent, 0, 1, 2)
	for _, h := range r.hosts {
		h.setStale(true)
	}
	r.hosts[paused].unpause()
	r.run(4*time.Second, 0, 2)
	r.setStore(storeWorks, 0, 1, 2)
	r.run(4*time.Second, 0, 2)
	for _, h := range r.hosts {
		assert.Equal(t, h.violation, "", "paused after %v", at)
	}
	assert.Assert(t, time.Since(r.hosts[2].lastAccepted) < 100*time.Millisecond)
}

// TestSlowReadsCountFromTheirStart guards against a proof whose age counts from the response of the store, which may show a state from
// before a withdrawal.
func TestSlowReadsCountFromTheirStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for offset := range 60 {
			func() {
				r := newRegion(t, 3, 1)
				defer r.close()
				r.setCallTime(60 * storeTime)
				r.run(5*time.Second, 0, 2)
				time.Sleep(time.Duration(offset) * 20 * time.Millisecond)
				r.setStore(storeRefuses, 0, 1, 2)
				began := time.Now()
				r.run(6*time.Second, 0, 2)
				for _, n := range []int{0, 2} {
					assert.Assert(t, r.hosts[n].lastAccepted.Sub(began) <= maxAge, "host %d, offset %d: %v", n, offset, r.hosts[n].lastAccepted.Sub(began))
				}
			}()
		}
	})
}

// TestFirstRequestWaits guards against a refused first request, when the host has no proof yet, and against requests that wait although
// attempts to get a proof fail.
func TestFirstRequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 3, 1)
		defer r.close()
		time.Sleep(time.Minute)
		assert.Equal(t, r.calls, 0, "hosts without requests have read")
		started := time.Now()
		assert.NilError(t, r.hosts[2].checker.Await(t.Context(), 1))
		assert.Assert(t, time.Since(started) <= 2*oneWay+storeTime)
		r.setStore(storeSilent, 0, 1, 2)
		time.Sleep(time.Minute)
		started = time.Now()
		assert.ErrorContains(t, r.hosts[2].checker.Await(t.Context(), 1), "3013")
		assert.Equal(t, time.Since(started), 300*time.Millisecond)
		time.Sleep(2 * time.Second)
		started = time.Now()
		assert.ErrorContains(t, r.hosts[2].checker.Await(t.Context(), 1), "3013")
		assert.Equal(t, time.Since(started), time.Duration(0))
	})
}

// TestIdleHostsMakeNoCalls guards against calls of hosts whose callers have left.
func TestIdleHostsMakeNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 3, 1)
		defer r.close()
		r.run(5*time.Second, 0, 2)
		time.Sleep(7 * time.Second)
		r.forget()
		time.Sleep(time.Minute)
		assert.Equal(t, r.calls, 0)
	})
}

// TestOlderSettingsAreRead guards against a host that goes on with settings that are older than its proof, waits for the store to send
// them, or refuses requests that wait while they are read.
func TestOlderSettingsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 2, 1)
		defer r.close()
		r.run(5*time.Second, 0, 1)
		r.forget()
		r.hosts[1].setStale(true)
		r.withdraw()
		r.run(1500*time.Millisecond, 0, 1)
		assert.Equal(t, r.hosts[1].refused, 0)
		assert.Equal(t, r.hosts[1].settingsReads, 1)
		assert.Equal(t, r.hosts[1].settings.Current().Revision(), int64(2))
		// The revision that a request was routed by is refused although the newer one is in force meanwhile.
		assert.ErrorContains(t, r.hosts[1].checker.Check(1), "newer settings exist")
		assert.NilError(t, r.hosts[1].checker.Check(2))
	})
}

// TestEarlierEraDoesNotCount guards against a proof from before the store was restored, and against keys that a lost revision has
// withdrawn and that the restored one accepts again.
func TestEarlierEraDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 2, 1)
		defer r.close()
		r.withdraw()
		r.run(5*time.Second, 0, 1)
		h := r.hosts[1]
		assert.NilError(t, h.checker.Check(2))
		r.mutex.Lock()
		r.era, r.confirmed = 1, r.confirmed[:1]
		r.mutex.Unlock()
		h.checker.ObserveEra(1)
		assert.ErrorContains(t, h.checker.Check(2), "no recent proof")
		r.run(2*time.Second, 1)
		assert.NilError(t, h.checker.Check(2))
		assert.ErrorContains(t, h.checker.Check(1), "newer settings exist")
	})
}
