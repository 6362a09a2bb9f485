package pause_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/pause"
)

// TestParseRetryAfter guards against an invalid or very long time that takes a target out of use.
func TestParseRetryAfter(t *testing.T) {
	cases := map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, " 1.5 ": 1500 * time.Millisecond, "0": 0, "": 0, "-1": 0, "NaN": 0, "soon": 0,
		"Sun, 06 Nov 1994 08:49:37 GMT": 0, "1e300": 30 * time.Second, "Inf": 30 * time.Second, "86400": 30 * time.Second,
	}
	for text, want := range cases {
		t.Run(text, func(t *testing.T) { assert.Equal(t, pause.ParseRetryAfter(text), want) })
	}
}

// TestTarget guards against a target that is used while it has asked for a pause, and against one that is never used again.
func TestTarget(t *testing.T) {
	const start = core.Instant(time.Hour)
	cases := map[string]struct {
		requests  []core.PauseRequest
		elapsed   time.Duration
		remaining time.Duration
		active    bool
	}{
		"nothing asked for": {nil, 0, 0, false},
		"within the time":   {[]core.PauseRequest{{RetryAfter: 2 * time.Second}}, time.Second, time.Second, true},
		"after the time":    {[]core.PauseRequest{{RetryAfter: 2 * time.Second}}, 2 * time.Second, 0, false},
		"shorter later":     {[]core.PauseRequest{{RetryAfter: 2 * time.Second}, {RetryAfter: time.Second}}, 0, 2 * time.Second, true},
		"very long":         {[]core.PauseRequest{{RetryAfter: 1 << 62}}, 30 * time.Second, 0, false},
		"negative":          {[]core.PauseRequest{{RetryAfter: -time.Second}}, 0, 0, false},
		"leaving":           {[]core.PauseRequest{{Leaving: true}}, 24 * time.Hour, 0, true},
		"leaving and busy":  {[]core.PauseRequest{{Leaving: true, RetryAfter: time.Second}, {}}, 0, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var target pause.Target
			for _, request := range c.requests {
				target.Record(request, start)
			}
			now := start.Add(c.elapsed)
			assert.Equal(t, target.Active(now), c.active)
			assert.Equal(t, target.Remaining(now), c.remaining)
		})
	}
}
