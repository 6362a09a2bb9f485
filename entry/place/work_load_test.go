package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
)

// workReading is which figures of the load header the placers of a play receive. docs/design/overload.md compares them.
type workReading int

const (
	readNothing workReading = iota
	readRequests
	readAll
)

// workSpec describes a load of targets whose speed changes at random: 10% of the time work takes 2.5 times as long, for 300 ms on
// average.
type workSpec struct {
	loadSpec
	// regions holds the targets of each region, a third of the callers is in each.
	regions [3]int
	slots   int
	// hosts is the number of hosts of a region, which exchange in-flight reports.
	hosts   int
	reading workReading
	// fixed means that the speed at the start of a run holds for all of it.
	fixed bool
	// unkeyed requests have no affinity key.
	unkeyed bool
	// kept is the number of targets that the second region keeps at lossTime, unless it is 0.
	kept int
}

// workTarget is a loadTarget with changing speed.
type workTarget struct {
	loadTarget
	random *rand.Rand
	// switches holds the times at which the speed changes, the first one from usual to slow.
	switches []time.Duration
}

const (
	// workSeed is the seed of the plays.
	workSeed   = 0
	slowPhase  = 300 * time.Millisecond
	usualPhase = 2700 * time.Millisecond
	slowFactor = 2.5
	workRTT    = 110 * time.Millisecond
	// lossTime is the time at which a region loses targets.
	lossTime = 10 * time.Second
)

// slowAt reports whether the target is slow at a time, and when that changes.
func (t *workTarget) slowAt(at time.Duration) (bool, time.Duration) {
	for i := 0; ; i++ {
		if i == len(t.switches) {
			last, mean := time.Duration(0), usualPhase
			if i > 0 {
				last = t.switches[i-1]
			}
			if i%2 == 1 {
				mean = slowPhase
			}
			t.switches = append(t.switches, last+time.Duration(t.random.ExpFloat64()*float64(mean)))
		}
		if at < t.switches[i] {
			return i%2 == 1, t.switches[i]
		}
	}
}

type workPlay struct {
	workSpec
	events  loadEvents
	fixture *fixture
	now     time.Duration
	placers [3][]*Placer
	random  *rand.Rand
	result  loadResult
	targets map[string]*workTarget
	weights []float64
}

func (s workSpec) play(seed uint64) loadResult {
	f := &fixture{affinityProbes: 8, timer: timer.NewManual(), version: 1}
	f.timer.Advance(time.Hour)
	l := &workPlay{
		workSpec: s, fixture: f, random: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // Repeatable.
		targets: map[string]*workTarget{},
	}
	for region, count := range s.regions {
		name := fmt.Sprint("r", region+1)
		for range count {
			t := readyTarget(fmt.Sprint("t", len(f.targets)), name, name)
			t.Slots = s.slots
			l.targets[t.ID] = &workTarget{loadTarget: loadTarget{slowdown: 1}, random: rand.New(rand.NewPCG(seed, uint64(len(f.targets)+1)))} //nolint:gosec // Repeatable.
			f.targets = append(f.targets, t)
		}
		for i := range s.hosts {
			l.placers[region] = append(l.placers[region], New(Config{
				Host: fmt.Sprint("h", i), Log: zap.NewNop(), MaxRemoteStep: 0.15, HostNames: func(string) []string { return f.hosts }, RandomInt: l.random.Int64N,
				Region: name, RegionRTT: workRTT, Registry: f, Settings: f, Timer: f.timer, Zone: name,
			}))
		}
	}
	sum := 0.0
	for i := range s.objects {
		sum += 1 / math.Sqrt(float64(i+1))
		l.weights = append(l.weights, sum)
	}
	l.after(0, l.arrive)
	l.after(0, l.exchange)
	if s.kept > 0 {
		l.after(lossTime, func() {
			f.targets = slices.Delete(slices.Clone(f.targets), s.regions[0]+s.kept, s.regions[0]+s.regions[1])
			f.version++
		})
	}
	for len(l.events) > 0 {
		next := l.events.next()
		f.timer.Advance(next.at - l.now)
		l.now = next.at
		next.run()
	}
	return l.result
}

func (l *workPlay) after(delay time.Duration, run func()) {
	l.events.add(loadEvent{l.now + delay, run})
}

func (l *workPlay) exchange() {
	for _, placers := range l.placers {
		for i, p := range placers {
			report := p.InFlight()
			for j, other := range placers {
				if i != j {
					other.ApplyReport(report)
				}
			}
		}
	}
	if l.now < l.duration {
		l.after(reportInterval, l.exchange)
	}
}

func (l *workPlay) arrive() {
	object := 0
	for x := l.random.Float64() * l.weights[len(l.weights)-1]; l.weights[object] < x; {
		object++
	}
	region := l.random.IntN(3)
	p := l.placers[region][l.random.IntN(l.hosts)]
	l.send(p, fmt.Sprint(object), l.now, false)
	if next := time.Duration(l.random.ExpFloat64() / l.perSecond * float64(time.Second)); l.now+next < l.duration {
		l.after(next, l.arrive)
	}
}

func (l *workPlay) send(p *Placer, object string, started time.Duration, again bool) {
	now := l.fixture.timer.Now()
	key := object
	if l.unkeyed {
		key = ""
	}
	tenth := &l.result.byTenth[p.Region[1]-'1'][int(l.now/(100*time.Millisecond))]
	grant, err := p.Admit(nil, core.AdmitRequest{ //nolint:staticcheck // The placer does not use the context.
		AffinityKey: key, Deadline: now.Add(started + l.deadline - l.now), LatencyObjective: now.Add(started + l.objective - l.now), Route: "r", Service: "s",
	})
	if err != nil {
		retry := err.(*core.RejectedError).RetryAfter //nolint:errorlint,forcetypeassert // Admit returns it unwrapped.
		if again || retry > (started+l.deadline-l.now)/3 {
			l.counts(started).refused++
			tenth.refused++
			return
		}
		l.after(retry, func() { l.send(p, object, started, true) })
		return
	}
	tenth.sent++
	id := grant.Target().Target
	way := time.Duration(0)
	if p.targets[id].Region != p.Region {
		tenth.remote++
		way = workRTT / 2
	}
	sent := l.now
	l.after(way, func() {
		l.receive(id, object, func(load core.TargetLoad, shed bool) {
			l.after(way, func() {
				if l.reading == readRequests {
					load.TimePercent = 0
				}
				grant.Release(core.Outcome{HasLoad: l.reading != readNothing, Load: load, Latency: l.now - sent, Shed: shed})
				c := l.counts(started)
				switch took := l.now - started; {
				case shed || took > l.deadline:
					c.refused++
				case took > l.objective:
					c.late++
				default:
					c.inTime++
				}
			})
		})
	})
}

func (l *workPlay) counts(started time.Duration) *loadCounts {
	if started < learningTime {
		return &l.result.learning
	}
	return &l.result.settled
}

func (l *workPlay) receive(id, object string, respond func(load core.TargetLoad, shed bool)) {
	t := l.targets[id]
	load := func() core.TargetLoad {
		percent := 100
		if slow, _ := t.slowAt(l.now); slow {
			percent = 250
		}
		return core.TargetLoad{Running: t.running, Slots: l.slots, Queued: len(t.queue), TimePercent: percent}
	}
	run := func() {
		t.running++
		l.after(l.work(id, object), func() {
			t.running--
			respond(load(), false)
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
		})
	}
	switch {
	case t.running < l.slots:
		run()
	case len(t.queue) < 4*l.slots:
		t.queue = append(t.queue, run)
	default:
		respond(load(), true)
	}
}

func (l *workPlay) work(id, object string) time.Duration {
	t, key := l.targets[id], hash(object, "")
	l.result.runs++
	share := l.knownShare
	if d := t.memory.distance(key); d == unseen || d >= l.memory {
		l.result.learned++
		share = 1
	}
	t.memory.use(key)
	work := time.Duration(share * (0.85 + 0.3*l.random.Float64()) * float64(l.workTime))
	slow, until := t.slowAt(l.now)
	if l.fixed {
		if slow {
			work = time.Duration(slowFactor * float64(work))
		}
		return work
	}
	at := l.now
	for {
		factor := 1.0
		if slow {
			factor = slowFactor
		}
		if needed := time.Duration(factor * float64(work)); at+needed <= until {
			return at + needed - l.now
		}
		work -= time.Duration(float64(until-at) / factor)
		at = until
		slow, until = t.slowAt(at)
	}
}

// workLoads are loads like those of three services, with a tenth of the targets and a third of the demand in one region.
func workLoads() map[string]workSpec {
	base := workSpec{
		loadSpec: loadSpec{objects: 400, memory: 16, knownShare: 1.0 / 3, duration: 30 * time.Second}, regions: [3]int{4, 18, 18}, hosts: 2,
	}
	loads := map[string]workSpec{}
	for name, l := range map[string]struct {
		work, objective, deadline time.Duration
		slots                     int
	}{
		"880 ms":   {880 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second, 3},
		"540 ms":   {540 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 4},
		"1,400 ms": {1400 * time.Millisecond, 1200 * time.Millisecond, 8 * time.Second, 4},
	} {
		s := base
		s.workTime, s.objective, s.deadline, s.slots = l.work, l.objective, l.deadline, l.slots
		loads[name] = s
	}
	return loads
}

// TestChangingSpeed guards against more refusals and more learned objects because hosts know the requests and the speed of targets
// better. Loads are relative to what all slots can serve if targets know no object.
func TestChangingSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		load float64
		// fixed means that the speed at the start of a run holds for all of it; inTime is the least share of the requests of the three
		// loads that is answered in time, and refused the highest that is not answered.
		fixed           bool
		inTime, refused float64
	}{
		"calm":                             {1, false, 0.7, 0.001},
		"heavy":                            {1.8, false, 0.42, 0.035},
		"too much":                         {2.2, false, 0.18, 0.15},
		"heavy, speed fixed at a start":    {1.8, true, 0.3, 0.06},
		"too much, speed fixed at a start": {2.2, true, 0.12, 0.19},
	} {
		t.Run(name, func(t *testing.T) {
			var sum loadCounts
			for _, s := range workLoads() {
				s.perSecond, s.reading, s.fixed = c.load*float64(40*s.slots)/s.workTime.Seconds(), readAll, c.fixed
				r := s.play(workSeed).settled
				n := r.inTime + r.late + r.refused
				sum.add(loadCounts{inTime: r.inTime / n, late: r.late / n, refused: r.refused / n})
			}
			n := sum.inTime + sum.late + sum.refused
			t.Logf("%.3f in time, %.3f late, %.3f refused", sum.inTime/n, sum.late/n, sum.refused/n)
			assert.Check(t, sum.inTime/n >= c.inTime)
			assert.Check(t, sum.refused/n <= c.refused)
		})
	}
}
