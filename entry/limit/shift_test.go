package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonyrouter.dev/core"
)

// TestShiftCapHoldsOverEveryWindow guards against a window of one second with more requests than the cap that applies at
// its last admission, and against admissions within one second of a change of ownership.
func TestShiftCapHoldsOverEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, l := newFixture(t, 1, 1, nil)
		defer l.Close()
		var admitted []core.Instant
		var reserved []core.ShiftGrant
		l.tick()
		ownedSince := f.Now()
		rate := int64(100)
		for range 300 {
			switch rapid.IntRange(0, 20).Draw(rt, "action") {
			case 0:
				rate = rapid.Int64Range(1, 60).Draw(rt, "rate")
				f.setSettings(1, 1, func(s *core.Snapshot, p *core.EffectivePolicy) {
					s.Settings.Shifts[0].RequestsPerSecond = rate
					p.RampIntervalMs = rapid.Int64Range(0, 1).Draw(rt, "ramp") * 100
				})
			case 1:
				f.notOwned["shift/s/r1/r2"] = true
				l.tick()
				delete(f.notOwned, "shift/s/r1/r2")
				ownedSince = f.Now()
			case 2:
				f.advance(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			default:
				f.advance(time.Duration(rapid.IntRange(0, 40).Draw(rt, "ms")) * time.Millisecond)
				for range rapid.IntRange(1, 20).Draw(rt, "tries") {
					if g, err := l.ReserveShift("s", "r1", "r2"); err == nil {
						reserved = append(reserved, g)
					}
				}
				// The remaining requests still wait for bandwidth or a connection.
				ready := rapid.IntRange(0, len(reserved)).Draw(rt, "ready")
				for _, g := range reserved[:ready] {
					err := g.Admit()
					g.Release(succeeded)
					if err != nil {
						continue
					}
					admitted = append(admitted, f.Now())
					count := int64(0)
					for _, instant := range admitted {
						if f.Now().Sub(instant) < time.Second {
							count++
						}
					}
					assert.Assert(rt, count <= rate, "%d admitted in one second at %d per second", count, rate)
					assert.Assert(rt, f.Now().Sub(ownedSince) >= time.Second, "the previous owner may have used the cap")
				}
				reserved = reserved[ready:]
			}
		}
	})
}

// TestShiftNeedsLease guards against a request that is admitted after the lease of the gateway has expired.
func TestShiftNeedsLease(t *testing.T) {
	f, l := newFixture(t, 1, 1, nil)
	l.tick()
	f.advance(time.Second)
	g, err := l.ReserveShift("s", "r1", "r2")
	assert.NilError(t, err)
	assert.DeepEqual(t, l.InUse(), map[string]int{"shift/s/r1/r2": 1})
	f.notOwned["shift/s/r1/r2"] = true
	err = g.Admit()
	assert.ErrorContains(t, err, "not owned")
	g.Release(core.Outcome{})
	assert.Equal(t, len(l.InUse()), 0)
}

// offerRequests offers 200 requests per second to the shift for d, releases each with outcome and returns the number
// admitted.
func (f *fixture) offerRequests(l *Limiter, d time.Duration, outcome core.Outcome) int {
	n := 0
	for range d / (5 * time.Millisecond) {
		f.advance(5 * time.Millisecond)
		if g, err := l.ReserveShift("s", "r1", "r2"); err == nil {
			if g.Admit() == nil {
				n++
			}
			g.Release(outcome)
		}
	}
	return n
}

// TestShiftRamp guards against a share that rises without evidence, or that stays high after failures or idle time.
func TestShiftRamp(t *testing.T) {
	tests := map[string]struct {
		failure string
		outcome core.Outcome
		idle    time.Duration
		lowest  int
		highest int
	}{
		"evidence":         {"a share that never rises despite successful responses", succeeded, 0, 90, 100},
		"missing evidence": {"a rise while no responses arrive", core.Outcome{}, 0, 9, 12},
		"failures":         {"a rise while the destination fails", failed, 0, 9, 12},
		"idle":             {"full load on cold caches after idle time", succeeded, 5 * time.Second, 9, 15},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.failure)
			f, l := newFixture(t, 1, 1, nil)
			l.tick()
			f.advance(time.Second)
			f.offerRequests(l, 6*time.Second, test.outcome)
			f.advance(test.idle)
			got := f.offerRequests(l, time.Second, test.outcome)
			assert.Assert(t, got >= test.lowest && got <= test.highest, "%d requests in the last second", got)
		})
	}
}

// TestShortLossOfShiftIsNoticed guards against a shift that was lost and acquired again between two ticks and admits
// requests at once.
func TestShortLossOfShiftIsNoticed(t *testing.T) {
	f, l := newFixture(t, 1, 1, nil)
	l.tick()
	f.advance(time.Second)
	_, err := l.ReserveShift("s", "r1", "r2")
	assert.NilError(t, err)
	f.notOwned["shift/s/r1/r2"] = true
	l.UpdateOwnership()
	delete(f.notOwned, "shift/s/r1/r2")
	_, err = l.ReserveShift("s", "r1", "r2")
	assert.ErrorContains(t, err, "taken over less than a second ago")
}
