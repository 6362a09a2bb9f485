package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestOutages guards against refusals of more requests within the quota than the loss of a share or of the coordinator explains. The
// fault begins after 10 s of steady load on six hosts; the killed hosts' callers use the others.
func TestOutages(t *testing.T) {
	cases := map[string]struct {
		fault func(s *sim)
		span  time.Duration
		// most and mostSmall are the largest parts of the requests that may be refused in the span, of a customer with 40 requests
		// per second and of one with 5, whose hosts have less than one each.
		most, mostSmall float64
	}{
		"store away for 10 s":               {func(s *sim) { s.store.down = true }, 10 * time.Second, 0.01, 0.2},
		"coordinator killed":                {func(s *sim) { s.leader().dead = true }, 20 * time.Second, 0.05, 0.25},
		"coordinator paused for 20 s":       {func(s *sim) { s.leader().pausedUntil = s.clock.Now().Add(20 * time.Second) }, 20 * time.Second, 0.05, 0.25},
		"coordinator cut off from store":    {func(s *sim) { s.leader().view.cut = true }, 20 * time.Second, 0.1, 0.25},
		"coordinator's links are cut":       {func(s *sim) { s.leader().linkCut = true }, 7 * time.Second, 0.03, 0.25},
		"another host killed":               {func(s *sim) { s.hosts[3].dead = true }, 20 * time.Second, 0.01, 0.01},
		"coordinator restarted":             {func(s *sim) { s.start(s.leader(), false) }, 20 * time.Second, 0.1, 0.25},
		"store restored, record lost":       {func(s *sim) { s.store.current = core.QuotaRead{}; s.store.era++ }, 20 * time.Second, 0.01, 0.1},
		"store restored from an older copy": {func(s *sim) { s.store.restore(3) }, 20 * time.Second, 0.01, 0.1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for usual, most := range map[float64]float64{5: c.mostSmall, 40: c.most} {
				refused, offered := 0, 0
				for seed := range uint64(4) {
					s := newSim(seed, 6, core.CustomerSettings{Name: "c", RequestsPerSecond: 1.6 * usual, Burst: usual})
					q := queues{}
					weights := func(*simHost) float64 {
						running := 0
						for _, h := range s.hosts {
							if s.runs(h) {
								running++
							}
						}
						return 1 / float64(running)
					}
					q.play(s, 10*time.Second, usual, weights)
					c.fault(s)
					r, o := q.play(s, c.span, usual, weights)
					refused, offered = refused+r, offered+o
					s.checkWindows(t, promised(s.customer))
				}
				assert.Check(t, float64(refused) <= most*float64(offered), "%v/s: %d of %d refused", usual, refused, offered)
			}
		})
	}
}
