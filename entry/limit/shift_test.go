package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonyrouter.dev/core"
)

// Guards against a window of one second with more requests than the cap in force at its last admission.
func TestShiftCapHoldsOverEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, l := newWorld(t, 1, 1, nil)
		defer l.Close()
		var admitted []core.Instant
		var reserved []core.ShiftGrant
		l.tick()
		owned := f.Now()
		rate := int64(100)
		for range 300 {
			switch rapid.IntRange(0, 20).Draw(rt, "action") {
			case 0:
				rate = rapid.Int64Range(1, 60).Draw(rt, "rate")
				f.change(1, 1, func(s *core.Snapshot, p *core.EffectivePolicy) {
					s.Settings.Shifts[0].RequestsPerSecond = rate
					p.RampIntervalMs = rapid.Int64Range(0, 1).Draw(rt, "ramp") * 100
				})
			case 1:
				f.lost["shift/s/r1/r2"] = true
				l.tick()
				delete(f.lost, "shift/s/r1/r2")
				owned = f.Now()
			case 2:
				f.step(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			default:
				f.step(time.Duration(rapid.IntRange(0, 40).Draw(rt, "ms")) * time.Millisecond)
				for range rapid.IntRange(1, 20).Draw(rt, "tries") {
					if g, err := l.ReserveShift("s", "r1", "r2"); err == nil {
						reserved = append(reserved, g)
					}
				}
				// The other requests go on waiting for bandwidth or a connection.
				ready := rapid.IntRange(0, len(reserved)).Draw(rt, "ready")
				for _, g := range reserved[:ready] {
					err := g.Admit()
					g.Release(answered)
					if err != nil {
						continue
					}
					admitted = append(admitted, f.Now())
					count := int64(0)
					for _, at := range admitted {
						if f.Now().Sub(at) < time.Second {
							count++
						}
					}
					assert.Assert(rt, count <= rate, "%d admitted in one second at %d per second", count, rate)
					assert.Assert(rt, f.Now().Sub(owned) >= time.Second, "the previous owner may have used the cap")
				}
				reserved = reserved[ready:]
			}
		}
	})
}

// Guards against a request that is admitted after the lease of the gateway has ended.
func TestShiftNeedsLease(t *testing.T) {
	f, l := newWorld(t, 1, 1, nil)
	l.tick()
	f.step(time.Second)
	g, err := l.ReserveShift("s", "r1", "r2")
	assert.NilError(t, err)
	assert.DeepEqual(t, l.InUse(), map[string]int{"shift/s/r1/r2": 1})
	f.lost["shift/s/r1/r2"] = true
	err = g.Admit()
	assert.ErrorContains(t, err, "not owned")
	g.Release(core.Outcome{})
	assert.Equal(t, len(l.InUse()), 0)
}

// pass offers 200 requests per second for d, releases each with outcome and returns the number admitted.
func (f *fakeWorld) pass(l *Limiter, d time.Duration, outcome core.Outcome) int {
	n := 0
	for range d / (5 * time.Millisecond) {
		f.step(5 * time.Millisecond)
		if g, err := l.ReserveShift("s", "r1", "r2"); err == nil {
			if g.Admit() == nil {
				n++
			}
			g.Release(outcome)
		}
	}
	return n
}

// Guards against a share that rises without evidence or stays up after failures or idle time.
func TestShiftRamp(t *testing.T) {
	tests := map[string]struct {
		failure string
		outcome core.Outcome
		idle    time.Duration
		least   int
		most    int
	}{
		"evidence":         {"a share that never rises", answered, 0, 90, 100},
		"missing evidence": {"a rise while answers do not arrive", core.Outcome{}, 0, 9, 12},
		"failures":         {"a rise while the destination fails", failed, 0, 9, 12},
		"idle":             {"full load after idle time on cold caches", answered, 5 * time.Second, 9, 15},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.failure)
			f, l := newWorld(t, 1, 1, nil)
			l.tick()
			f.step(time.Second)
			f.pass(l, 6*time.Second, test.outcome)
			f.step(test.idle)
			got := f.pass(l, time.Second, test.outcome)
			assert.Assert(t, got >= test.least && got <= test.most, "%d requests in the last second", got)
		})
	}
}

// Guards against a shift that was lost and came back between two ticks and admits at once.
func TestShortLossOfShiftIsNoted(t *testing.T) {
	f, l := newWorld(t, 1, 1, nil)
	l.tick()
	f.step(time.Second)
	_, err := l.ReserveShift("s", "r1", "r2")
	assert.NilError(t, err)
	f.lost["shift/s/r1/r2"] = true
	l.Observe()
	delete(f.lost, "shift/s/r1/r2")
	_, err = l.ReserveShift("s", "r1", "r2")
	assert.ErrorContains(t, err, "taken over less than a second ago")
}
