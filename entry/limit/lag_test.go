package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// Guards against admitted requests that end after their deadline because a busy process did not count the time for
// which it had not seen them; twice the capacity gave 25 percent late responses.
func TestLagShortensTheQueue(t *testing.T) {
	for name, test := range map[string]struct {
		lag      time.Duration
		rejected codes.Code
	}{
		"idle process": {0, 0},
		"busy process": {40 * time.Millisecond, codes.DeadlineTooShort},
	} {
		t.Run(name, func(t *testing.T) {
			f, l := newWorld(t, 1, 1, nil)
			p, _ := l.pool("s")
			p.hold = 20 * time.Millisecond
			for range 200 {
				p.lag.record(test.lag)
			}
			request := core.AdmitRequest{Deadline: f.Now().Add(100 * time.Millisecond), Service: "s"}
			g, _, rejected := p.enter(&request, f.Now())
			assert.Assert(t, g != nil && rejected == nil)
			next := core.AdmitRequest{Deadline: f.Now().Add(100 * time.Millisecond), Service: "s"}
			_, w, rejected := p.enter(&next, f.Now())
			assert.Equal(t, w == nil, test.rejected != 0)
			if rejected != nil {
				assert.Equal(t, rejected.Code, test.rejected)
			}
		})
	}
}

// Guards against a queue that is as long as the deadline permits, so that every pause makes its requests late.
func TestQueueLeavesTimeForPauses(t *testing.T) {
	for name, test := range map[string]struct {
		deadline time.Duration
		waiters  int
	}{
		"a quarter is left":     {200 * time.Millisecond, 14},
		"100 ms at the most":    {time.Second, 89},
		"shorter than the work": {8 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, l := newWorld(t, 1, 1, func(_ *core.Snapshot, p *core.EffectivePolicy) { p.QueueMax = 1000 })
			p, _ := l.pool("s")
			p.hold = 10 * time.Millisecond
			waiters := -1
			for {
				request := core.AdmitRequest{Deadline: f.Now().Add(test.deadline), Service: "s"}
				_, _, rejected := p.enter(&request, f.Now())
				if rejected != nil {
					break
				}
				waiters++
			}
			assert.Equal(t, waiters, test.waiters)
		})
	}
}

// Guards against a lag that stays after the process has become idle again.
func TestLagFollowsTheSamples(t *testing.T) {
	var l lag
	for range 200 {
		l.record(100 * time.Millisecond)
	}
	assert.Assert(t, l.value() > 90*time.Millisecond)
	for range 200 {
		l.record(0)
	}
	assert.Assert(t, l.value() < time.Millisecond)
}
