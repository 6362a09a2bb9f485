package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/quota"
)

// simMaxWait is the time for which a request waits for a share.
const simMaxWait = 600 * time.Millisecond

// queues holds the ends of the waits of the requests at each host.
type queues map[*simHost][]core.Instant

// serve offers a new request to a host and counts it as refused if it is not taken within simMaxWait.
func (q queues) serve(s *sim, h *simHost) (refused int) {
	verdict := s.take(h)
	h.shares.Count(s.customer.Name)
	if verdict == quota.Refused {
		return 1
	}
	if verdict == quota.Pending {
		q[h] = append(q[h], s.clock.Now().Add(simMaxWait))
	}
	h.waiting = len(q[h])
	return 0
}

// retry offers the waiting requests of a host again.
func (q queues) retry(s *sim, h *simHost) (refused int) {
	var rest []core.Instant
	for _, end := range q[h] {
		switch verdict := s.take(h); {
		case verdict == quota.Refused, verdict == quota.Pending && !s.clock.Now().Before(end):
			refused++
		case verdict == quota.Pending:
			rest = append(rest, end)
		}
	}
	q[h] = rest
	h.waiting = len(rest)
	return refused
}

// play offers requests at random, in proportion to weights, until d has passed. It leaves out those that are over the quota of
// one bucket for all hosts, and returns how many were refused and offered.
func (q queues) play(s *sim, d time.Duration, perSecond float64, weights func(h *simHost) float64) (refused, offered int) {
	level := max(1, s.customer.Burst)
	s.run(d, func() {
		level = min(max(1, s.customer.Burst), level+s.customer.RequestsPerSecond*simStep.Seconds())
		for _, h := range s.hosts {
			if !s.runs(h) {
				continue
			}
			refused += q.retry(s, h)
			mean := perSecond * weights(h) * simStep.Seconds()
			for at := s.random.ExpFloat64(); at < mean; at += s.random.ExpFloat64() {
				if level >= 1 {
					level--
					refused += q.serve(s, h)
					offered++
				}
			}
		}
	})
	return refused, offered
}

// TestCalm guards against refusals of requests within the quota while nothing fails: in the first seconds, in steady state with
// the requests of a host moving to another within a moment, and after a pause of the customer.
func TestCalm(t *testing.T) {
	cases := map[string]struct {
		usual, burst float64
		hosts        int
	}{
		"small":              {1, 2, 9},
		"small, few hosts":   {1, 0, 3},
		"medium":             {10, 10, 9},
		"medium, no burst":   {10, 0, 6},
		"large":              {60, 60, 9},
		"large, small burst": {60, 10, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			total := 0
			for seed := range uint64(5) {
				s := newSim(seed, c.hosts, core.CustomerSettings{Name: "c", RequestsPerSecond: 1.6 * c.usual, Burst: c.burst})
				q := queues{}
				refused := 0
				for round := range 12 {
					from, to := s.random.IntN(c.hosts), s.random.IntN(c.hosts)
					n, offered := q.play(s, 5*time.Second, c.usual, func(h *simHost) float64 {
						weight := 1 / float64(c.hosts)
						if h.index == to {
							weight *= 1.77
						}
						if h.index == from && from != to {
							weight -= 0.77 / float64(c.hosts)
						}
						return weight
					})
					refused += n
					total += offered
					if round == 6 {
						n, _ := q.play(s, 10*time.Second, 0, func(*simHost) float64 { return 0 })
						refused += n
					}
				}
				assert.Equal(t, refused, 0, "seed %d", seed)
			}
			assert.Assert(t, float64(total) > c.usual*60*5*0.5, "%d", total)
		})
	}
}

// TestFlood guards against a quota that is used only in part while a customer sends 7.5 times its usual rate, from all hosts or from
// one, and against a customer that is still refused when it sends its usual rate again.
func TestFlood(t *testing.T) {
	cases := map[string]func(h *simHost) float64{
		"all hosts": func(*simHost) float64 { return 1.0 / 6 },
		"one host": func(h *simHost) float64 {
			if h.index == 5 {
				return 1
			}
			return 0
		},
	}
	for name, weights := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, 6, core.CustomerSettings{Name: "c", RequestsPerSecond: 32, Burst: 20})
			q := queues{}
			q.play(s, 5*time.Second, 20, weights)
			begin := len(s.taken)
			for end := s.clock.Now().Add(6 * time.Second); s.clock.Now().Before(end); {
				// Every request is offered, also those over the quota.
				s.run(simStep, func() {
					for _, h := range s.hosts {
						q.retry(s, h)
						mean := 150 * weights(h) * simStep.Seconds()
						for at := s.random.ExpFloat64(); at < mean; at += s.random.ExpFloat64() {
							q.serve(s, h)
						}
					}
				})
			}
			assert.Assert(t, float64(len(s.taken)-begin) > 0.9*32*6, "%d requests in 6 s", len(s.taken)-begin)
			s.checkWindows(t, promised(s.customer))
			q.play(s, 2*time.Second, 20, weights)
			refused, offered := q.play(s, 10*time.Second, 20, weights)
			assert.Equal(t, refused, 0, "of %d", offered)
		})
	}
}
