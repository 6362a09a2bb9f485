package place

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// pausable returns the grant of a request as a core.PausableGrant.
func (f *fixture) pausable(t *testing.T, p *Placer, request core.AdmitRequest) (core.Grant, core.PausableGrant) {
	t.Helper()
	granted, err := p.Admit(t.Context(), request)
	assert.NilError(t, err)
	pausable, ok := granted.(core.PausableGrant)
	assert.Assert(t, ok)
	return granted, pausable
}

// TestRefusingTargetsAreLeftAlone guards against requests at targets that have asked for a time without any. It plays 20 s at 40
// requests a second, while a third of nine targets refuse everything with Retry-After: 2.
func TestRefusingTargetsAreLeftAlone(t *testing.T) {
	const pauseTime, interval, attempts = 2 * time.Second, 25 * time.Millisecond, 4
	var targets []core.Target
	for i := range 9 {
		targets = append(targets, readyTarget(fmt.Sprintf("t%d", i), "r1", "z1"))
	}
	f, p := newFixture(targets...)
	refusing := map[string]bool{"t0": true, "t3": true, "t6": true}
	lastRefusal, refused := map[string]core.Instant{}, 0
	for n := range 800 {
		request := f.request(time.Second)
		request.AffinityKey = fmt.Sprint(n % 50)
		served := false
		for range attempts {
			granted, pausable := f.pausable(t, p, request)
			id := granted.Target().Target
			if !refusing[id] {
				f.timer.Advance(interval)
				granted.Release(core.Outcome{Latency: interval})
				served = true
				break
			}
			now := f.timer.Now()
			last, again := lastRefusal[id]
			assert.Assert(t, !again || now.Sub(last) >= pauseTime, "%s gets a request %v after its refusal", id, now.Sub(last))
			lastRefusal[id] = now
			refused++
			pausable.RecordPause(core.PauseRequest{RetryAfter: pauseTime})
			granted.Release(core.Outcome{Shed: true})
			request.Avoid = append(request.Avoid, id)
		}
		assert.Assert(t, served, "request %d is not served", n)
	}
	assert.Equal(t, len(lastRefusal), len(refusing), "a target is never tried again")
	assert.Assert(t, refused <= 30, "%d requests were refused", refused)
}

// TestLeavingTargets guards against a request at a target that has said that it is leaving, against a target that is not used after it
// has started again, and against a late response of an earlier start that takes a new one out of use.
func TestLeavingTargets(t *testing.T) {
	f, p := newFixture(readyTarget("a", "r1", "z1"), readyTarget("b", "r2", "z3"))
	f.targets[0].Slots = 9
	late, lateResponse := f.pausable(t, p, f.request(time.Minute))
	granted, response := f.pausable(t, p, f.request(time.Minute))
	waiting, waitingGrant := f.pausable(t, p, f.request(time.Minute))
	assert.Equal(t, waiting.Target().Target, "a")
	response.RecordPause(core.PauseRequest{Leaving: true})
	assert.Assert(t, waitingGrant.Paused(), "a request that waits for its connection is sent")
	waiting.Release(core.Outcome{})
	granted.Release(core.Outcome{Latency: time.Millisecond})
	for range 100 {
		f.timer.Advance(time.Second)
		next, _ := f.pausable(t, p, f.request(time.Minute))
		assert.Equal(t, next.Target().Target, "b")
		next.Release(core.Outcome{Latency: time.Millisecond})
	}
	f.targets[0].StartedMs = 2
	f.version++
	next, nextGrant := f.pausable(t, p, f.request(time.Minute))
	assert.Equal(t, next.Target().Target, "a")
	lateResponse.RecordPause(core.PauseRequest{Leaving: true})
	late.Release(core.Outcome{})
	assert.Assert(t, !nextGrant.Paused())
}

// TestAllTargetsPaused guards against a refusal that tells the caller to come back before or long after a target may be used.
func TestAllTargetsPaused(t *testing.T) {
	cases := map[string]struct {
		pauses []core.PauseRequest
		change func(*fixture)
		want   time.Duration
	}{
		"the first pause ends":    {[]core.PauseRequest{{RetryAfter: 2 * time.Second}, {RetryAfter: 1200 * time.Millisecond}}, nil, 1200 * time.Millisecond},
		"others are leaving":      {[]core.PauseRequest{{Leaving: true}, {RetryAfter: 1500 * time.Millisecond}}, nil, 1500 * time.Millisecond},
		"all are leaving":         {[]core.PauseRequest{{Leaving: true}, {Leaving: true}}, nil, noTargetRetryAfter},
		"very long":               {[]core.PauseRequest{{RetryAfter: 24 * time.Hour}, {RetryAfter: 24 * time.Hour}}, nil, 30 * time.Second},
		"about to end":            {[]core.PauseRequest{{RetryAfter: time.Millisecond}, {RetryAfter: time.Second}}, nil, minRetryAfter},
		"others in drained zones": {[]core.PauseRequest{{RetryAfter: 3 * time.Second}, {RetryAfter: time.Second}}, func(f *fixture) { f.drainedZones = map[string]bool{"z2": true} }, 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, p := newFixture(readyTarget("a", "r1", "z1"), readyTarget("b", "r1", "z2"))
			for i, request := range c.pauses {
				admit := f.request(time.Minute)
				admit.Avoid = []string{f.targets[1-i].ID}
				granted, pausable := f.pausable(t, p, admit)
				pausable.RecordPause(request)
				granted.Release(core.Outcome{})
			}
			if c.change != nil {
				c.change(f)
				f.version++
			}
			_, err := p.Admit(t.Context(), f.request(time.Minute))
			var rejected *core.RejectedError
			assert.Assert(t, errors.As(err, &rejected))
			assert.Equal(t, rejected.RetryAfter, c.want)
		})
	}
}
