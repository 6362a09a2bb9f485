package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// BenchmarkChoose measures the choice among 16 busy targets; the target is 1 µs without allocation.
func BenchmarkChoose(b *testing.B) {
	f, l := newWorld(b, 16, 4, nil)
	p, _ := l.pool("s")
	now := f.Now()
	p.refresh(now)
	request := &core.AdmitRequest{}
	for i, t := range p.targets {
		t.inFlight = i % 4
	}
	b.ReportAllocs()
	for b.Loop() {
		if t, _ := p.choose(request, now, tierSuspect); t == nil {
			b.Fatal("no target")
		}
	}
}

// BenchmarkAdmit measures a grant and its release at an owner of 4 of 16 targets.
func BenchmarkAdmit(b *testing.B) {
	f, l := newWorld(b, 16, 4, nil)
	for i := range 12 {
		f.lost[fmt.Sprintf("target/s/t%d", i)] = true
	}
	request := core.AdmitRequest{Service: "s", Deadline: f.Now().Add(time.Minute)}
	b.ReportAllocs()
	for b.Loop() {
		g, err := l.Admit(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		g.Release(core.Outcome{Latency: time.Millisecond})
	}
}

// BenchmarkServiceLoad measures the look at the own load that precedes the choice of a local hop.
func BenchmarkServiceLoad(b *testing.B) {
	_, l := newWorld(b, 16, 4, nil)
	b.ReportAllocs()
	for b.Loop() {
		if l.ServiceLoad("s").FreeSlots == 0 {
			b.Fatal("no free slots")
		}
	}
}

// Guards against a target that gets no requests as long as another one answers a little faster, so that nobody notices
// when it stops answering, and against work at a slow target while faster ones are free.
func TestEqualTargetsTakeTurns(t *testing.T) {
	f, l := newWorld(t, 4, 2, nil)
	used := map[string]int{}
	for n := range 40 {
		g, err := l.Admit(t.Context(), core.AdmitRequest{Service: "s"})
		assert.NilError(t, err)
		used[g.Target().Target]++
		f.step(time.Millisecond)
		latency := time.Duration(10+n%5) * time.Millisecond
		if g.Target().Target == "t3" {
			latency = 100 * time.Millisecond
		}
		g.Release(core.Outcome{Latency: latency})
	}
	assert.DeepEqual(t, used, map[string]int{"t0": 13, "t1": 13, "t2": 13, "t3": 1})
}

// Guards against allocation in the choice of a target.
func TestChooseDoesNotAllocate(t *testing.T) {
	f, l := newWorld(t, 16, 4, nil)
	p, _ := l.pool("s")
	p.refresh(f.Now())
	request := &core.AdmitRequest{}
	assert.Equal(t, testing.AllocsPerRun(100, func() { p.choose(request, f.Now(), tierSuspect) }), 0.0)
}

// Guards against a tenant or a class that starves others under overload, and against a starved batch class.
func TestFairnessUnderOverload(t *testing.T) {
	f, l := newWorld(t, 1, 2, func(_ *core.Snapshot, p *core.EffectivePolicy) { p.QueueMax = 60 })
	p, _ := l.pool("s")
	served, waiters := map[string]int{}, map[*waiter]string{}
	var busy []*grant
	for i := range 3000 {
		f.step(time.Millisecond)
		for tenant, n := range map[string]int{"greedy": 8, "modest": 1, "batch": 4} {
			for range n {
				request := core.AdmitRequest{Service: "s", Tenant: tenant, Deadline: f.Now().Add(time.Duration(60+i%7) * time.Millisecond)}
				if tenant == "batch" {
					request.Class = classBatch
				}
				if g, w, _ := p.enter(&request, f.Now()); g != nil {
					busy = append(busy, g)
				} else if w != nil {
					waiters[w] = tenant
				}
			}
		}
		if i%2 == 0 && len(busy) > 0 {
			g := busy[0]
			busy = busy[1:]
			g.Release(core.Outcome{Latency: 2 * time.Millisecond})
		}
		for w, tenant := range waiters {
			select {
			case a := <-w.ready:
				delete(waiters, w)
				if a.grant != nil {
					served[tenant]++
					busy = append(busy, a.grant)
				}
			default:
			}
		}
	}
	t.Log(fmt.Sprint(served))
	assert.Assert(t, served["modest"] >= 500, "a fair share is 600 of 1500: %v", served)
	assert.Assert(t, served["batch"] >= 250, "one grant of five goes to batch: %v", served)
	assert.Assert(t, served["greedy"] >= 500, "%v", served)
}
