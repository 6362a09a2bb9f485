package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonyrouter.dev/core"
)

// TestCachedRejectionMatchesQueue guards against a cached rejection of a request that the queue would accept, whatever
// was admitted, released or rejected before, and against a cache that is never used.
func TestCachedRejectionMatchesQueue(t *testing.T) {
	reused := 0
	rapid.Check(t, func(rt *rapid.T) {
		f, l := newFixture(t, 2, 2, func(_ *core.Snapshot, p *core.EffectivePolicy) { p.QueueMax = 4 })
		p, _ := l.pool("s")
		p.meanServiceTime, p.serviceTimeDeviation = 4*time.Millisecond, time.Millisecond
		var grants []*grant
		waiters := map[*waiter]bool{}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			f.advance(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "us")) * time.Microsecond)
			if len(grants) > 0 && rapid.IntRange(0, 2).Draw(rt, "release") == 0 {
				grants[0].Release(core.Outcome{Latency: 4 * time.Millisecond})
				grants = grants[1:]
			}
			request := core.AdmitRequest{
				Class:    rapid.SampledFrom([]string{"interactive", classBatch}).Draw(rt, "class"),
				Deadline: f.Now().Add(time.Duration(rapid.IntRange(10, 60).Draw(rt, "deadline")) * time.Millisecond),
				Service:  "s",
				Tenant:   rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "tenant"),
			}
			cached := p.reuseRejection(&request, f.Now())
			p.rejection.Store(nil)
			g, w, rejected := p.admit(&request, f.Now())
			if cached != nil {
				reused++
				assert.Assert(rt, rejected != nil, "the queue accepts a request that the cached rejection covers: %s", cached)
			}
			if g != nil {
				grants = append(grants, g)
			}
			if w != nil {
				waiters[w] = true
			}
			for w := range waiters {
				select {
				case r := <-w.result:
					delete(waiters, w)
					if r.grant != nil {
						grants = append(grants, r.grant)
					}
				default:
				}
			}
		}
	})
	assert.Assert(t, reused > 0)
}

// BenchmarkRejected measures the rejection of requests by a full queue, on all cores in parallel.
func BenchmarkRejected(b *testing.B) {
	f, l := newFixture(b, 4, 9, func(_ *core.Snapshot, p *core.EffectivePolicy) { p.QueueMax = 512 })
	p, _ := l.pool("s")
	p.meanServiceTime = 10 * time.Millisecond
	request := core.AdmitRequest{Service: "s", Deadline: f.Now().Add(10 * time.Second)}
	for {
		queued := request
		if _, _, rejected := p.admit(&queued, f.Now()); rejected != nil {
			break
		}
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = l.ServiceLoad("s")
			_, _ = l.Admit(b.Context(), request)
		}
	})
}
