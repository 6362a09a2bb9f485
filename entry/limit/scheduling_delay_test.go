package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// TestSchedulingDelayShortensQueue guards against admitted requests that end after their deadline because a busy process
// did not take into account the delay until it noticed them; at twice the capacity, 25 percent of the responses were late.
func TestSchedulingDelayShortensQueue(t *testing.T) {
	for name, test := range map[string]struct {
		delay    time.Duration
		rejected codes.Code
	}{
		"idle process": {0, 0},
		"busy process": {40 * time.Millisecond, codes.DeadlineTooShort},
	} {
		t.Run(name, func(t *testing.T) {
			f, l := newFixture(t, 1, 1, nil)
			p, _ := l.pool("s")
			p.meanServiceTime = 20 * time.Millisecond
			for range 200 {
				p.schedulingDelay.record(test.delay)
			}
			request := core.AdmitRequest{Deadline: f.Now().Add(100 * time.Millisecond), Service: "s"}
			g, _, rejected := p.admit(&request, f.Now())
			assert.Assert(t, g != nil && rejected == nil)
			next := core.AdmitRequest{Deadline: f.Now().Add(100 * time.Millisecond), Service: "s"}
			_, w, rejected := p.admit(&next, f.Now())
			assert.Equal(t, w == nil, test.rejected != 0)
			if rejected != nil {
				assert.Equal(t, rejected.Code, test.rejected)
			}
		})
	}
}

// TestQueueLeavesTimeForPauses guards against a queue as long as the deadline permits, in which every pause makes
// requests late.
func TestQueueLeavesTimeForPauses(t *testing.T) {
	for name, test := range map[string]struct {
		deadline time.Duration
		waiters  int
	}{
		"quarter of the budget": {200 * time.Millisecond, 14},
		"at most 100 ms":        {time.Second, 89},
		"budget too short":      {8 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, l := newFixture(t, 1, 1, func(_ *core.Snapshot, p *core.EffectivePolicy) { p.QueueMax = 1000 })
			p, _ := l.pool("s")
			p.meanServiceTime = 10 * time.Millisecond
			waiters := -1
			for {
				request := core.AdmitRequest{Deadline: f.Now().Add(test.deadline), Service: "s"}
				_, _, rejected := p.admit(&request, f.Now())
				if rejected != nil {
					break
				}
				waiters++
			}
			assert.Equal(t, waiters, test.waiters)
		})
	}
}

// TestSchedulingDelayFollowsSamples guards against an average that stays high after the process has become idle again.
func TestSchedulingDelayFollowsSamples(t *testing.T) {
	var d schedulingDelay
	for range 200 {
		d.record(100 * time.Millisecond)
	}
	assert.Assert(t, d.value() > 90*time.Millisecond)
	for range 200 {
		d.record(0)
	}
	assert.Assert(t, d.value() < time.Millisecond)
}
