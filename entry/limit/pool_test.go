package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// BenchmarkChoose measures the choice among 16 busy targets; the goal is 1 µs without allocation.
func BenchmarkChoose(b *testing.B) {
	f, l := newFixture(b, 16, 4, nil)
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

// BenchmarkAdmit measures a grant and its release in a process that owns 4 of 16 targets.
func BenchmarkAdmit(b *testing.B) {
	f, l := newFixture(b, 16, 4, nil)
	for i := range 12 {
		f.notOwned[fmt.Sprintf("target/s/t%d", i)] = true
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

// BenchmarkServiceLoad measures the read of the local load that precedes the choice of a local hop.
func BenchmarkServiceLoad(b *testing.B) {
	_, l := newFixture(b, 16, 4, nil)
	b.ReportAllocs()
	for b.Loop() {
		if l.ServiceLoad("s").FreeSlots == 0 {
			b.Fatal("no free slots")
		}
	}
}

// TestEqualTargetsTakeTurns guards against a target that gets no requests because another one responds slightly faster, so
// that it may stop responding unnoticed, and against requests sent to a slow target while faster ones are free.
func TestEqualTargetsTakeTurns(t *testing.T) {
	f, l := newFixture(t, 4, 2, nil)
	counts := map[string]int{}
	for n := range 40 {
		g, err := l.Admit(t.Context(), core.AdmitRequest{Service: "s"})
		assert.NilError(t, err)
		counts[g.Target().Target]++
		f.advance(time.Millisecond)
		latency := time.Duration(10+n%5) * time.Millisecond
		if g.Target().Target == "t3" {
			latency = 100 * time.Millisecond
		}
		g.Release(core.Outcome{Latency: latency})
	}
	assert.DeepEqual(t, counts, map[string]int{"t0": 13, "t1": 13, "t2": 13, "t3": 1})
}

// TestChooseDoesNotAllocate guards against memory allocation in the choice of a target.
func TestChooseDoesNotAllocate(t *testing.T) {
	f, l := newFixture(t, 16, 4, nil)
	p, _ := l.pool("s")
	p.refresh(f.Now())
	request := &core.AdmitRequest{}
	assert.Equal(t, testing.AllocsPerRun(100, func() { p.choose(request, f.Now(), tierSuspect) }), 0.0)
}

// TestFairnessUnderOverload guards against a tenant or a class that starves others under overload, including the batch
// class.
func TestFairnessUnderOverload(t *testing.T) {
	f, l := newFixture(t, 1, 2, func(_ *core.Snapshot, p *core.EffectivePolicy) { p.QueueMax = 60 })
	p, _ := l.pool("s")
	served, waiters := map[string]int{}, map[*waiter]string{}
	var busy []*grant
	for i := range 3000 {
		f.advance(time.Millisecond)
		for tenant, n := range map[string]int{"greedy": 8, "modest": 1, "batch": 4} {
			for range n {
				request := core.AdmitRequest{Service: "s", Tenant: tenant, Deadline: f.Now().Add(time.Duration(60+i%7) * time.Millisecond)}
				if tenant == "batch" {
					request.Class = classBatch
				}
				if g, w, _ := p.admit(&request, f.Now()); g != nil {
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
			case r := <-w.result:
				delete(waiters, w)
				if r.grant != nil {
					served[tenant]++
					busy = append(busy, r.grant)
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
