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

// hostBudget is the control traffic that a host may send, in bytes per second.
const hostBudget = 2000

// cluster simulates a deployment on a manual clock. Messages arrive at once. The keys of partitioned are hosts without
// any working link, and pairs a>b for which a sees its link to b as down. The keys of dropMessages are hosts whose
// messages from others are lost.
type cluster struct {
	bytes        map[string]int
	partitioned  map[string]bool
	dials        map[string]bool
	dropMessages map[string]bool
	members      map[string]*Members
	discard      bool
	now          core.Instant
	sent         int
	store        map[string]core.Object
	version      int64
}

// endpoint implements the links, the store and the timer of one host of the cluster.
type endpoint struct {
	core.Links
	core.Store
	cluster  *cluster
	host     string
	messages core.MessageHandler
	requests core.RequestHandler
}

func (e *endpoint) After(time.Duration) <-chan core.Instant { return nil }

func (e *endpoint) Alive(address string) bool {
	return !e.cluster.partitioned[address] && !e.cluster.partitioned[e.host] && !e.cluster.partitioned[e.host+">"+address]
}

func (e *endpoint) Connect(address string) { e.cluster.dials[e.host+">"+address] = true }

func (e *endpoint) Delete(_ context.Context, key string, version int64) error {
	if e.cluster.store[key].Version != version {
		return core.ErrConflict
	}
	delete(e.cluster.store, key)
	return nil
}

func (e *endpoint) Disconnect(string) {}

func (e *endpoint) Get(_ context.Context, key string) (core.Object, error) {
	o, ok := e.cluster.store[key]
	if !ok {
		return o, core.ErrNotFound
	}
	return o, nil
}

func (e *endpoint) HandleMessage(_ string, h core.MessageHandler) { e.messages = h }

func (e *endpoint) HandleRequest(_ string, h core.RequestHandler) { e.requests = h }

func (e *endpoint) List(_ context.Context, prefix string) ([]core.Object, error) {
	var all []core.Object
	for key, o := range e.cluster.store {
		if strings.HasPrefix(key, prefix) {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b core.Object) int { return strings.Compare(a.Key, b.Key) })
	return all, nil
}

func (e *endpoint) Now() core.Instant { return e.cluster.now }

func (e *endpoint) Put(_ context.Context, key string, value []byte, version int64) (int64, error) {
	if e.cluster.store[key].Version != version {
		return 0, core.ErrConflict
	}
	e.cluster.version++
	e.cluster.store[key] = core.Object{Key: key, Value: value, Version: e.cluster.version}
	return e.cluster.version, nil
}

func (e *endpoint) Request(ctx context.Context, address, _ string, payload []byte) ([]byte, error) {
	return endpoints[address].requests(ctx, e.host, payload)
}

func (e *endpoint) Send(address, _ string, payload []byte) error {
	e.cluster.sent++
	e.cluster.bytes[e.host] += len(payload)
	if !e.cluster.discard && e.Alive(address) && !e.cluster.dropMessages[address] {
		endpoints[address].messages(e.host, payload)
	}
	return nil
}

func (e *endpoint) C() <-chan core.Instant { return nil }

func (e *endpoint) Stop() {}

func (e *endpoint) Subscribe(time.Duration) core.Subscription { return e }

func (e *endpoint) Watch(ctx context.Context, _ string, _ int64) ([]core.Object, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

var endpoints map[string]*endpoint

// newCluster starts all hosts of the given regions; each region lists the number of hosts per availability zone.
func newCluster(t testing.TB, regions ...[]int) *cluster {
	t.Helper()
	f := &cluster{bytes: map[string]int{}, partitioned: map[string]bool{}, dials: map[string]bool{}, dropMessages: map[string]bool{}, members: map[string]*Members{}, now: 1, store: map[string]core.Object{}}
	endpoints = map[string]*endpoint{}
	for r, zones := range regions {
		for z, count := range zones {
			for n := range count {
				h := core.Host{
					Host: fmt.Sprintf("r%d-z%d-%03d", r, z, n), Incarnation: "1", Region: fmt.Sprintf("r%d", r), State: core.HostReady,
					Zone: fmt.Sprintf("r%d-z%d", r, z),
				}
				h.SteerAddress = h.Host
				e := &endpoint{cluster: f, host: h.Host}
				endpoints[h.Host] = e
				f.members[h.Host] = New(h, e, e, e, WithStart("s"))
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

// run advances the clock by d and ticks all hosts; relays see changes of the store at once.
func (f *cluster) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(tickInterval) {
		for name, m := range f.members {
			if f.partitioned[name] {
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

// TestSuspicion guards against lookups that name a dead host, zone or region after 2 s, against suspecting live hosts
// because one link is down, and against hosts that stay suspected after they recover.
func TestSuspicion(t *testing.T) {
	for name, partitioned := range map[string][]string{
		"host":                       {"r0-z0-003"},
		"relay":                      {"r0-z0-000"},
		"both relays":                {"r0-z0-000", "r0-z0-001"},
		"zone":                       {"r1-z0-000", "r1-z0-001"},
		"region":                     {"r3-z0-000", "r3-z0-001", "r3-z0-002"},
		"exporter of another region": {"r2-z0-000"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCluster(t, []int{5, 3}, []int{2, 2}, []int{3, 1}, []int{3}, []int{2, 2})
			for _, h := range partitioned {
				f.partitioned[h] = true
			}
			// Real links report an unresponsive peer after 1 s, the simulated ones at once. Failures that are detected
			// by stale digests get 2 s.
			f.run(time.Second)
			if name != "host" {
				f.run(time.Second)
			}
			for observer, m := range f.members {
				if f.partitioned[observer] {
					continue
				}
				for _, h := range partitioned {
					assert.Assert(t, !slices.Contains(names(m.Hosts()), h), "%s lists dead host %s", observer, h)
				}
				assert.Equal(t, len(m.Hosts()), len(f.members)-len(partitioned), "%s suspects live hosts", observer)
				assert.Equal(t, len(m.Registered().Hosts()), len(f.members), "suspected hosts are missing from the registered hosts")
			}
			f.partitioned = map[string]bool{}
			f.run(6 * time.Second)
			for observer, m := range f.members {
				assert.Equal(t, len(m.Hosts()), len(f.members), "%s still suspects %v", observer, m.table.suspected)
			}
		})
	}
}

// TestOnlyUpdatesWake guards against checking all hosts for every message that contains nothing new, and against an
// update that waits for the next tick.
func TestOnlyUpdatesWake(t *testing.T) {
	f := newCluster(t, []int{4})
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

// TestOneEndDials guards against two links between a pair of hosts of a region, and against a pair that wait for each
// other to dial.
func TestOneEndDials(t *testing.T) {
	f := newCluster(t, []int{5, 3}, []int{2})
	for dial := range f.dials {
		a, b, _ := strings.Cut(dial, ">")
		assert.Assert(t, a[:2] != b[:2] || !f.dials[b+">"+a], "%s and %s dial each other", a, b)
	}
	for _, pair := range []string{"r0-z0-004>r0-z0-000", "r0-z0-000>r0-z0-001", "r0-z0-001>r0-z1-000"} {
		assert.Assert(t, f.dials[pair], pair)
	}
	const blocked = "r0-z0-000>r0-z0-004"
	f.partitioned[blocked] = true
	f.run(dialDelay / 2)
	assert.Assert(t, !f.dials[blocked])
	f.run(dialDelay)
	assert.Assert(t, f.dials[blocked], "a relay does not dial a host that does not dial it")
}

// TestOneBrokenLink guards against suspecting a host because of a single broken link while another relay receives its
// heartbeats.
func TestOneBrokenLink(t *testing.T) {
	f := newCluster(t, []int{4})
	f.partitioned["r0-z0-000>r0-z0-003"] = true
	f.run(4 * time.Second)
	for observer, m := range f.members {
		assert.Equal(t, len(m.Hosts()), 4, observer)
	}
}

// TestChangesReachHosts guards against registration changes that do not reach hosts without a watch on the store, and
// against a host that misses changes and does not notice the gap.
func TestChangesReachHosts(t *testing.T) {
	f := newCluster(t, []int{5}, []int{3})
	host := f.members["r1-z0-002"]
	f.partitioned["r0-z0-004"] = true
	for _, state := range []core.HostState{core.HostDraining, core.HostStarting} {
		host.SetState(state, "2")
		assert.NilError(t, host.writeRegistration(context.Background()))
		f.run(500 * time.Millisecond)
		find := slices.ContainsFunc(f.members["r0-z0-003"].Hosts(), func(h core.Host) bool { return h.Incarnation == "2" })
		assert.Equal(t, find, state == core.HostDraining, "Hosts lists draining hosts but not starting ones")
	}
	delete(f.partitioned, "r0-z0-004")
	isolated := f.members["r0-z0-004"]
	f.run(updateInterval)
	relay, poll := isolated.catchUpSource(f.now)
	assert.Assert(t, relay != "" && !poll, "the gap is not detected")
	assert.NilError(t, isolated.Seed(context.Background(), relay))
	assert.DeepEqual(t, isolated.All(), f.members["r0-z0-000"].All())
	relay, poll = isolated.catchUpSource(f.now)
	assert.Assert(t, relay == "" && !poll)
	f.now = f.now.Add(updateTimeout * 3 / 2)
	_, poll = isolated.catchUpSource(f.now)
	assert.Assert(t, poll, "no fallback to the store")
}

// TestMissedSuspicion guards against a host or relay that trusts an old message of a relay until the next periodic one,
// because a newer message was lost or sent while the link was down.
func TestMissedSuspicion(t *testing.T) {
	const from, dead = "r0-z0-000", "r0-z0-004"
	for name, test := range map[string]struct {
		observer string
		lost     bool
		within   time.Duration
	}{
		"update lost":         {"r0-z0-003", true, updateInterval},
		"update on down link": {"r0-z0-003", false, tickInterval},
		"list lost":           {"r0-z1-001", true, digestInterval},
		"list on down link":   {"r0-z1-001", false, tickInterval},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCluster(t, []int{5, 2})
			f.run(updateIdleInterval)
			f.partitioned[dead] = true
			missed := digestSettled / 2
			if f.dropMessages[test.observer] = test.lost; !test.lost {
				f.partitioned[from+">"+test.observer] = true
				f.partitioned[test.observer+">"+from] = true
				missed = digestSettled + time.Second
			}
			f.run(missed)
			f.dropMessages = map[string]bool{}
			f.partitioned = map[string]bool{dead: true}
			f.run(test.within + tickInterval)
			assert.Assert(t, f.members[test.observer].table.suspected[dead])
			assert.Assert(t, !f.members[test.observer].table.suspected[from])
		})
	}
}

// TestRegistrationAfterLostResponse guards against writing a registration again, or failing to, when the first write
// succeeded but its response was lost.
func TestRegistrationAfterLostResponse(t *testing.T) {
	f := newCluster(t, []int{1})
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

// TestRemoveDeparted guards against removing a registration whose host has not been suspected for long enough or is on
// the platform's list.
func TestRemoveDeparted(t *testing.T) {
	for name, test := range map[string]struct {
		listed string
		after  time.Duration
		want   bool
	}{
		"gone":             {"r0-z0-000", removeAfter, true},
		"listed as live":   {"r0-z0-003", removeAfter, false},
		"suspected":        {"r0-z0-000", removeAfter / 2, false},
		"no platform list": {"", removeAfter, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCluster(t, []int{4})
			if test.listed != "" {
				f.store[KeyPlatformPrefix+test.listed] = core.Object{Key: KeyPlatformPrefix + test.listed}
			}
			f.partitioned["r0-z0-003"] = true
			f.run(3 * time.Second)
			f.now = f.now.Add(test.after)
			assert.NilError(t, f.members["r0-z0-000"].RemoveDeparted(context.Background()))
			_, exists := f.store[core.KeyHostsPrefix+"r0-z0-003"]
			assert.Equal(t, exists, !test.want)
		})
	}
}

// TestRunRegisters guards against goroutines that outlive Run, and against a start that does not register the host.
func TestRunRegisters(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newCluster(t, []int{1})
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

// TestBeats guards against beats that keep a digest valid although its new content was lost, and against beats that do
// not keep an unchanged digest valid.
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
			table.adoptDigests(core.MemberUpdate{Author: "b", Digests: []core.MemberDigest{known}}, 1)
			later := core.Instant(1).Add(digestMaxAge / 2)
			table.adoptDigests(core.MemberUpdate{Author: "b", Beats: []core.MemberBeat{test.beat}}, later)
			assert.Equal(t, len(table.remoteDigests(later.Add(digestMaxAge/2))), test.want)
		})
	}
}

// TestRestartedExporter guards against false suspicions by an exporter that restarts before any peer sees its links go
// down, and so receives beats of digests that it does not have.
func TestRestartedExporter(t *testing.T) {
	const name = "r1-z0-000"
	f := newCluster(t, []int{3}, []int{3}, []int{3})
	f.run(updateIdleInterval)
	old := f.members[name]
	e := endpoints[name]
	f.members[name] = New(old.table.self, e, e, e, WithStart("t"))
	f.members[name].table.apply(old.table.changesSince(0), f.now)
	for end := f.now.Add(2 * suspicionGrace); f.now < end; {
		f.run(tickInterval)
		for observer, m := range f.members {
			assert.Equal(t, len(m.table.suspected), 0, "%s suspects %v", observer, m.table.suspected)
		}
	}
}

// TestCost guards against a cost that differs from the table in doc.go or from the messages sent, or grows with the
// square of the fleet size, and against a host whose payloads alone exceed the traffic budget of a node.
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
			f := newCluster(t, test.regions...)
			for n, m := range f.members {
				hosts[n] = m.table.self
			}
			f.run(updateIdleInterval)
			f.sent = 0
			f.bytes = map[string]int{}
			const span = 2 * updateIdleInterval
			f.run(span)
			got := CostOf(hosts)
			for name, n := range f.bytes {
				assert.Assert(t, float64(n)/span.Seconds() <= hostBudget, "%s sends %d bytes in %v", name, n, span)
			}
			measured := float64(f.sent) / span.Seconds()
			assert.Assert(t, math.Abs(measured-got.Total) < got.Total/20, "sent %.1f/s, computed %.1f/s", measured, got.Total)
			assert.DeepEqual(t, got, test.want)
		})
	}
}
