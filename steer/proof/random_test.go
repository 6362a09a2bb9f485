package proof_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// step is one event of a random run, followed by a time in which all hosts receive requests.
type step struct {
	kind, host, other int
	span              time.Duration
}

// TestWithdrawnKeysAreRefused guards against a request with a key that is sent later than the bound after the key's withdrawal was
// confirmed, however hosts are paused, restarted and cut from each other and from the store.
func TestWithdrawnKeysAreRefused(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "20261206"))
	assert.NilError(t, flag.Set("rapid.checks", "60"))
	rapid.Check(t, func(rt *rapid.T) {
		const hosts = 4
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				rapid.IntRange(0, 11).Draw(rt, "kind"), rapid.IntRange(0, hosts-1).Draw(rt, "host"), rapid.IntRange(0, hosts-1).Draw(rt, "other"),
				time.Duration(rapid.IntRange(1, 4000).Draw(rt, "span")) * time.Millisecond,
			}
		}), 20, 60).Draw(rt, "steps")
		violation, refused := "", 0
		synctest.Test(t, func(t *testing.T) {
			r := newRegion(t, hosts, seed)
			defer r.close()
			for _, s := range steps {
				r.play(s)
				r.run(s.span, 0, 1, 2, 3)
			}
			r.heal()
			r.run(4*time.Second, 0, 1, 2, 3)
			r.forget()
			r.run(4*time.Second, 0, 1, 2, 3)
			for _, h := range r.hosts {
				if h.violation != "" {
					violation = h.violation
				}
				refused += h.refused
			}
		})
		assert.Equal(rt, violation, "")
		assert.Equal(rt, refused, 0, "requests are refused after all faults have ended")
	})
}

// play applies the event of a step.
func (r *region) play(s step) {
	h, other := r.hosts[s.host], r.hosts[s.other]
	switch s.kind {
	case 0, 1, 2:
		r.withdraw()
	case 3:
		h.pause()
	case 4:
		h.unpause()
	case 5:
		h.kill()
	case 6:
		if h.stop == nil {
			h.start()
		}
	case 7:
		r.setStore(storeFault(s.other%3), s.host)
	case 8:
		r.cut(h.name, other.name, true)
	case 9:
		r.cut(h.name, other.name, false)
	case 10:
		r.setCallTime([]time.Duration{storeTime, 60 * storeTime, time.Second, storeTime}[s.other])
	case 11:
		h.setStale(!h.isStale())
	}
}

// heal ends all faults.
func (r *region) heal() {
	r.setCallTime(storeTime)
	for n, h := range r.hosts {
		h.unpause()
		h.setStale(false)
		r.setStore(storeWorks, n)
		for _, other := range r.hosts {
			r.cut(h.name, other.name, false)
		}
		if h.stop == nil {
			h.start()
		}
	}
}
