package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonyrouter.dev/core"
)

// Guards against a request that is rejected without the lock although the queue would take it, whatever was admitted,
// released or rejected before, and against a rejection without the lock that never happens.
func TestRefusalWithoutLockIsWhatTheQueueDecides(t *testing.T) {
	refused := 0
	rapid.Check(t, func(rt *rapid.T) {
		f, l := newWorld(t, 2, 2, func(_ *core.Snapshot, p *core.EffectivePolicy) { p.QueueMax = 4 })
		p, _ := l.pool("s")
		p.hold, p.spread = 4*time.Millisecond, time.Millisecond
		var held []*grant
		waiters := map[*waiter]bool{}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			f.step(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "us")) * time.Microsecond)
			if len(held) > 0 && rapid.IntRange(0, 2).Draw(rt, "release") == 0 {
				held[0].Release(core.Outcome{Latency: 4 * time.Millisecond})
				held = held[1:]
			}
			request := core.AdmitRequest{
				Class:    rapid.SampledFrom([]string{"interactive", classBatch}).Draw(rt, "class"),
				Deadline: f.Now().Add(time.Duration(rapid.IntRange(10, 60).Draw(rt, "deadline")) * time.Millisecond),
				Service:  "s",
				Tenant:   rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "tenant"),
			}
			early := p.refuse(&request, f.Now())
			p.refused.Store(nil)
			g, w, rejected := p.enter(&request, f.Now())
			if early != nil {
				refused++
				assert.Assert(rt, rejected != nil, "the queue takes a request that was rejected early: %s", early)
			}
			if g != nil {
				held = append(held, g)
			}
			if w != nil {
				waiters[w] = true
			}
			for w := range waiters {
				select {
				case a := <-w.ready:
					delete(waiters, w)
					if a.grant != nil {
						held = append(held, a.grant)
					}
				default:
				}
			}
		}
	})
	assert.Assert(t, refused > 0)
}

// BenchmarkRefused measures the rejection of requests by a full queue, from all cores at once.
func BenchmarkRefused(b *testing.B) {
	f, l := newWorld(b, 4, 9, func(_ *core.Snapshot, p *core.EffectivePolicy) { p.QueueMax = 512 })
	p, _ := l.pool("s")
	p.hold = 10 * time.Millisecond
	request := core.AdmitRequest{Service: "s", Deadline: f.Now().Add(10 * time.Second)}
	for {
		own := request
		if _, _, rejected := p.enter(&own, f.Now()); rejected != nil {
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
