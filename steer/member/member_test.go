package member

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// nodeBudget is what a node may send for control, in bytes per second.
const nodeBudget = 2000

// fleet is a deployment on a manual clock; messages arrive at once unless their ends are cut off.
type fleet struct {
	bytes   map[string]int
	cut     map[string]bool
	dials   map[string]bool
	lost    map[string]bool
	members map[string]*Members
	mute    bool
	now     core.Instant
	sent    int
	store   map[string]core.Object
	version int64
}

// port is the end of the fleet's links and store on one host.
type port struct {
	core.Links
	core.Store
	fleet    *fleet
	host     string
	messages core.MessageHandler
	requests core.RequestHandler
}

func (p *port) After(time.Duration) <-chan core.Instant { return nil }

func (p *port) Alive(address string) bool {
	return !p.fleet.cut[address] && !p.fleet.cut[p.host] && !p.fleet.cut[p.host+">"+address]
}

func (p *port) Connect(address string) { p.fleet.dials[p.host+">"+address] = true }

func (p *port) Delete(_ context.Context, key string, version int64) error {
	if p.fleet.store[key].Version != version {
		return core.ErrConflict
	}
	delete(p.fleet.store, key)
	return nil
}

func (p *port) Disconnect(string) {}

func (p *port) Get(_ context.Context, key string) (core.Object, error) {
	o, ok := p.fleet.store[key]
	if !ok {
		return o, core.ErrNotFound
	}
	return o, nil
}

func (p *port) HandleMessage(_ string, h core.MessageHandler) { p.messages = h }

func (p *port) HandleRequest(_ string, h core.RequestHandler) { p.requests = h }

func (p *port) List(_ context.Context, prefix string) ([]core.Object, error) {
	var all []core.Object
	for key, o := range p.fleet.store {
		if strings.HasPrefix(key, prefix) {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b core.Object) int { return strings.Compare(a.Key, b.Key) })
	return all, nil
}

func (p *port) Now() core.Instant { return p.fleet.now }

func (p *port) Put(_ context.Context, key string, value []byte, version int64) (int64, error) {
	if p.fleet.store[key].Version != version {
		return 0, core.ErrConflict
	}
	p.fleet.version++
	p.fleet.store[key] = core.Object{Key: key, Value: value, Version: p.fleet.version}
	return p.fleet.version, nil
}

func (p *port) Request(ctx context.Context, address, _ string, payload []byte) ([]byte, error) {
	return ports[address].requests(ctx, p.host, payload)
}

func (p *port) Send(address, _ string, payload []byte) error {
	p.fleet.sent++
	p.fleet.bytes[p.host] += len(payload)
	if !p.fleet.mute && p.Alive(address) && !p.fleet.lost[address] {
		ports[address].messages(p.host, payload)
	}
	return nil
}

func (p *port) C() <-chan core.Instant { return nil }

func (p *port) Stop() {}

func (p *port) Subscribe(time.Duration) core.Subscription { return p }

func (p *port) Watch(ctx context.Context, _ string, _ int64) ([]core.Object, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

var ports map[string]*port

// newFleet starts all hosts of the given regions; each region lists the numbers of hosts of its zones.
func newFleet(t testing.TB, regions ...[]int) *fleet {
	t.Helper()
	f := &fleet{bytes: map[string]int{}, cut: map[string]bool{}, dials: map[string]bool{}, lost: map[string]bool{}, members: map[string]*Members{}, now: 1, store: map[string]core.Object{}}
	ports = map[string]*port{}
	for r, zones := range regions {
		for z, count := range zones {
			for n := range count {
				h := core.Host{
					Host: fmt.Sprintf("r%d-z%d-%03d", r, z, n), Incarnation: "1", Region: fmt.Sprintf("r%d", r), State: core.HostReady,
					Zone: fmt.Sprintf("r%d-z%d", r, z),
				}
				h.SteerAddress = h.Host
				p := &port{fleet: f, host: h.Host}
				ports[h.Host] = p
				f.members[h.Host] = New(h, p, p, p, WithStart("s"))
				assert.NilError(t, f.members[h.Host].writeRegistration(context.Background()))
			}
		}
	}
	// Decoding 690 registrations on 690 hosts would take most of the test's time.
	var all []core.HostChange
	for _, m := range f.members {
		all = append(all, core.HostChange{Host: m.table.self, Version: f.store[core.KeyHostsPrefix+m.table.self.Host].Version})
	}
	for _, m := range f.members {
		m.table.apply(all, f.now)
		m.table.version = f.version
	}
	f.run(3 * time.Second)
	return f
}

// run lets time pass; relays see changes of the store at once.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(tickInterval) {
		for name, m := range f.members {
			if f.cut[name] {
				continue
			}
			if m.table.relaying && m.table.version < f.version {
				objects, _ := m.store.List(context.Background(), core.KeyHostsPrefix)
				m.adopt(objects, false, f.version)
			}
			m.tick()
		}
	}
}

func names(hosts []core.Host) []string {
	var list []string
	for _, h := range hosts {
		list = append(list, h.Host)
	}
	return list
}

// Guards against a dead host, zone or region that is still named anywhere after 2 s, against live hosts that are
// suspected because one link is down, and against hosts that stay suspected after they came back.
func TestSuspicion(t *testing.T) {
	for name, cut := range map[string][]string{
		"host":                       {"r0-z0-003"},
		"relay":                      {"r0-z0-000"},
		"both relays":                {"r0-z0-000", "r0-z0-001"},
		"zone":                       {"r1-z0-000", "r1-z0-001"},
		"region":                     {"r3-z0-000", "r3-z0-001", "r3-z0-002"},
		"exporter of another region": {"r2-z0-000"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, []int{5, 3}, []int{2, 2}, []int{3, 1}, []int{3}, []int{2, 2})
			for _, h := range cut {
				f.cut[h] = true
			}
			// The real links need 1 s to report a silence, the fake's none. What depends on stale digests has 2 s.
			f.run(time.Second)
			if name != "host" {
				f.run(time.Second)
			}
			for at, m := range f.members {
				if f.cut[at] {
					continue
				}
				for _, h := range cut {
					assert.Assert(t, !slices.Contains(names(m.Hosts()), h), "%s names %s", at, h)
				}
				assert.Equal(t, len(m.Hosts()), len(f.members)-len(cut), "%s suspects live hosts", at)
				assert.Equal(t, len(m.Registered().Hosts()), len(f.members), "a suspicion hides a registration")
			}
			f.cut = map[string]bool{}
			f.run(6 * time.Second)
			for at, m := range f.members {
				assert.Equal(t, len(m.Hosts()), len(f.members), "%s still suspects %v", at, m.table.suspected)
			}
		})
	}
}

// Guards against a look at all hosts for each message that tells nothing new, and against an update that waits for a tick.
func TestOnlyUpdatesWake(t *testing.T) {
	f := newFleet(t, []int{4})
	m := f.members["r0-z0-003"]
	for name, tc := range map[string]struct {
		update core.MemberUpdate
		want   int
	}{
		"nothing new": {core.MemberUpdate{Author: "r0-z0-000", ForHosts: true}, 0},
		"suspicion":   {core.MemberUpdate{Author: "r0-z0-000", ForHosts: true, Suspected: []string{"r0-z0-002"}}, 1},
		"change":      {core.MemberUpdate{Author: "r0-z0-000", Changes: []core.HostChange{{Host: core.Host{Host: "new"}, Version: 9}}}, 1},
		"digest":      {core.MemberUpdate{Digests: []core.MemberDigest{{Author: "x", Region: "r9", Sequence: 1, Suspected: []string{"y"}}}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			payload, err := msgpack.Marshal(tc.update)
			assert.NilError(t, err)
			f.run(5 * time.Second)
			select {
			case <-m.urgent:
			default:
			}
			m.handleUpdate("", payload)
			assert.Equal(t, len(m.urgent), tc.want)
		})
	}
}

// Guards against two links between the same hosts of a region, and against hosts that wait for each other to dial.
func TestOneEndDials(t *testing.T) {
	f := newFleet(t, []int{5, 3}, []int{2})
	for dial := range f.dials {
		a, b, _ := strings.Cut(dial, ">")
		assert.Assert(t, a[:2] != b[:2] || !f.dials[b+">"+a], "%s and %s dial each other", a, b)
	}
	for _, pair := range []string{"r0-z0-004>r0-z0-000", "r0-z0-000>r0-z0-001", "r0-z0-001>r0-z1-000"} {
		assert.Assert(t, f.dials[pair], pair)
	}
	const late = "r0-z0-000>r0-z0-004"
	f.cut[late] = true
	f.run(linkGrace / 2)
	assert.Assert(t, !f.dials[late])
	f.run(linkGrace)
	assert.Assert(t, f.dials[late], "a relay does not dial a host that does not dial it")
}

// Guards against a suspicion because of a single broken link while another relay hears the host.
func TestOneBrokenLink(t *testing.T) {
	f := newFleet(t, []int{4})
	f.cut["r0-z0-000>r0-z0-003"] = true
	f.run(4 * time.Second)
	for at, m := range f.members {
		assert.Equal(t, len(m.Hosts()), 4, at)
	}
}

// Guards against changes of registrations that do not reach hosts which do not watch the store, and against a host
// that missed some and goes on with a gap.
func TestChangesReachHosts(t *testing.T) {
	f := newFleet(t, []int{5}, []int{3})
	host := f.members["r1-z0-002"]
	f.cut["r0-z0-004"] = true
	for _, state := range []core.HostState{core.HostDraining, core.HostStarting} {
		host.SetState(state, "2")
		assert.NilError(t, host.writeRegistration(context.Background()))
		f.run(500 * time.Millisecond)
		find := slices.ContainsFunc(f.members["r0-z0-003"].Hosts(), func(h core.Host) bool { return h.Incarnation == "2" })
		assert.Equal(t, find, state == core.HostDraining, "starting hosts are not named")
	}
	delete(f.cut, "r0-z0-004")
	late := f.members["r0-z0-004"]
	f.run(updateInterval)
	relay, poll := late.missing(f.now)
	assert.Assert(t, relay != "" && !poll, "the gap is not noticed")
	assert.NilError(t, late.Seed(context.Background(), relay))
	assert.DeepEqual(t, late.All(), f.members["r0-z0-000"].All())
	relay, poll = late.missing(f.now)
	assert.Assert(t, relay == "" && !poll)
	f.now = f.now.Add(updateTimeout * 3 / 2)
	_, poll = late.missing(f.now)
	assert.Assert(t, poll, "no fallback to the store")
}

// Guards against a host or relay that believes an old message of a relay until the next regular one, because a newer
// message was lost or came while the link was down.
func TestMissedSuspicion(t *testing.T) {
	const from, dead = "r0-z0-000", "r0-z0-004"
	for name, test := range map[string]struct {
		at     string
		lost   bool
		within time.Duration
	}{
		"update lost":         {"r0-z0-003", true, updateInterval},
		"update on down link": {"r0-z0-003", false, tickInterval},
		"list lost":           {"r0-z1-001", true, digestInterval},
		"list on down link":   {"r0-z1-001", false, tickInterval},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, []int{5, 2})
			f.run(updateIdle)
			f.cut[dead] = true
			missed := digestSettled / 2
			if f.lost[test.at] = test.lost; !test.lost {
				f.cut[from+">"+test.at] = true
				f.cut[test.at+">"+from] = true
				missed = digestSettled + time.Second
			}
			f.run(missed)
			f.lost = map[string]bool{}
			f.cut = map[string]bool{dead: true}
			f.run(test.within + tickInterval)
			assert.Assert(t, f.members[test.at].table.suspected[dead])
			assert.Assert(t, !f.members[test.at].table.suspected[from])
		})
	}
}

// Guards against a registration that is lost with the answer to its write.
func TestRegistrationIsFoundAgain(t *testing.T) {
	f := newFleet(t, []int{1})
	m := f.members["r0-z0-000"]
	m.SetState(core.HostDraining, "1")
	value, err := json.Marshal(m.table.self)
	assert.NilError(t, err)
	key := core.KeyHostsPrefix + "r0-z0-000"
	_, err = m.store.Put(context.Background(), key, value, f.store[key].Version)
	assert.NilError(t, err)
	before := f.version
	assert.NilError(t, m.writeRegistration(context.Background()))
	assert.Equal(t, f.version, before)
}

// Guards against the removal of a registration that is only suspected, or whose host the platform lists as live.
func TestForget(t *testing.T) {
	for name, test := range map[string]struct {
		listed string
		after  time.Duration
		want   bool
	}{
		"gone":            {"r0-z0-000", forgetAfter, true},
		"listed as live":  {"r0-z0-003", forgetAfter, false},
		"suspected":       {"r0-z0-000", forgetAfter / 2, false},
		"no list at hand": {"", forgetAfter, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, []int{4})
			if test.listed != "" {
				f.store[KeyPlatformPrefix+test.listed] = core.Object{Key: KeyPlatformPrefix + test.listed}
			}
			f.cut["r0-z0-003"] = true
			f.run(3 * time.Second)
			f.now = f.now.Add(test.after)
			assert.NilError(t, f.members["r0-z0-000"].Forget(context.Background()))
			_, kept := f.store[core.KeyHostsPrefix+"r0-z0-003"]
			assert.Equal(t, kept, !test.want)
		})
	}
}

// Guards against goroutines that outlive Run and against a start that does not register the host.
func TestRunRegisters(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(t, []int{1})
	m := f.members["r0-z0-000"]
	written := make(chan core.Host, 1)
	m.onWritten = func(h core.Host) { written <- h }
	m.SetState(core.HostDraining, "2")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	assert.Equal(t, (<-written).Incarnation, "2")
	cancel()
	<-done
}

// Guards against a digest that stays valid by beats although its new content was lost, and against one that does not.
func TestBeats(t *testing.T) {
	known := core.MemberDigest{Author: "x", Region: "r9", Sequence: 5, Suspected: []string{"y"}}
	other := core.MemberDigest{Author: "x", Region: "r9", Sequence: 5}
	for name, test := range map[string]struct {
		beat core.MemberBeat
		want int
	}{
		"newer":         {core.MemberBeat{ID: digestID(known), Sequence: 6}, 1},
		"not newer":     {core.MemberBeat{ID: digestID(known), Sequence: 5}, 0},
		"other content": {core.MemberBeat{ID: digestID(other), Sequence: 6}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(core.Host{Host: "a", Region: "r0"}, 1)
			table.hear(core.MemberUpdate{Author: "b", Digests: []core.MemberDigest{known}}, 1)
			late := core.Instant(1).Add(digestFresh / 2)
			table.hear(core.MemberUpdate{Author: "b", Beats: []core.MemberBeat{test.beat}}, late)
			assert.Equal(t, len(table.foreign(late.Add(digestFresh/2))), test.want)
		})
	}
}

// Guards against false suspicions of an exporter that was restarted so fast that nobody saw its links go down: it gets
// beats of digests that it does not have.
func TestRestartedExporter(t *testing.T) {
	const name = "r1-z0-000"
	f := newFleet(t, []int{3}, []int{3}, []int{3})
	f.run(updateIdle)
	old := f.members[name]
	p := ports[name]
	f.members[name] = New(old.table.self, p, p, p, WithStart("t"))
	f.members[name].table.apply(old.table.since(0), f.now)
	for end := f.now.Add(2 * grace); f.now < end; {
		f.run(tickInterval)
		for at, m := range f.members {
			assert.Equal(t, len(m.table.suspected), 0, "%s suspects %v", at, m.table.suspected)
		}
	}
}

// Guards against a cost that differs from the table in doc.go, from what is sent, or that grows with the square of the fleet,
// and against a host whose payloads alone exceed the budget of a node.
func TestCost(t *testing.T) {
	for name, test := range map[string]struct {
		regions [][]int
		want    Cost
	}{
		"11 hosts":  {[][]int{{2, 2}, {2, 2}, {2, 1}}, Cost{Exporter: 13.25, Relay: 1.875, Total: 87}},
		"690 hosts": {[][]int{{63, 63, 63}, {63, 63}, {63, 63}, {63, 63}, {63, 60}}, Cost{Exporter: 22.125, Relay: 10.75, Total: 329.5}},
	} {
		t.Run(name, func(t *testing.T) {
			hosts := map[string]core.Host{}
			f := newFleet(t, test.regions...)
			for n, m := range f.members {
				hosts[n] = m.table.self
			}
			f.run(updateIdle)
			f.sent = 0
			f.bytes = map[string]int{}
			const span = 2 * updateIdle
			f.run(span)
			got := CostOf(hosts)
			for name, n := range f.bytes {
				assert.Assert(t, float64(n)/span.Seconds() <= nodeBudget, "%s sends %d bytes in %v", name, n, span)
			}
			measured := float64(f.sent) / span.Seconds()
			assert.Assert(t, math.Abs(measured-got.Total) < got.Total/20, "sent %.1f/s, computed %.1f/s", measured, got.Total)
			assert.DeepEqual(t, got, test.want)
		})
	}
}
