package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/steer/owner"
)

// tick is the time between two steps of the world.
const tick = grantorInterval

// world is a deployment of two regions whose holders, grantors and steers are the real ones; messages, time and the
// store are driven by hand.
type world struct {
	t       assert.TestingT
	clock   *clock
	decoded map[string]core.Ownership
	hosts   *hostList
	late    []func()
	nodes   []*node
	source  *source
	store   *lateStore
	outcome int // the rest of the draws by which messages are lost or delayed
	ticks   int
	uses    map[string]use
	// grants are the ends of uses by process and object.
	grants map[string]core.Instant
	// versions are those of the decoded documents.
	versions map[string]int64
	// zombies are replaced processes that go on; others do not reach them.
	zombies []*node
}

// use is one use of an object by a process, which ends at the deadline even if the process is paused.
type use struct {
	by    string
	until core.Instant
}

// node is one host: an entry process, its steer, and what is under way to it.
type node struct {
	advice    []core.LeaseAdvice
	away      core.Instant // until then the entry process does not reach its steer
	cut       core.Instant
	dead      bool
	frozen    core.Instant // until then the entry process gets no documents
	grantor   *Grantor
	holder    *Holder
	host      core.Host
	inbox     []func()
	lagging   core.Instant
	paused    core.Instant
	restarts  int
	severed   map[string]core.Instant // until then the link to another host is down
	steer     *owner.Documents
	written   string
	documents map[string]core.Ownership
}

// lateStore is a store in memory whose next writes may take effect late, after their answers were lost.
type lateStore struct {
	*store.Memory
	late int
	held []func()
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if s.late == 0 || s.Faults().Outage {
		return s.Memory.Put(ctx, key, value, version)
	}
	s.late--
	s.held = append(s.held, func() { _, _ = s.Memory.Put(ctx, key, value, version) })
	return 0, core.ErrUncertain
}

// source is a fixed source of settings.
type source struct{ snapshot core.Snapshot }

func (s *source) Current() *core.Snapshot { return &s.snapshot }

// newWorld returns a deployment that has settled: four hosts in luzon, one in visayas, four targets in luzon.
func newWorld(t assert.TestingT) *world {
	w := &world{
		t: t, clock: &clock{now: 1}, hosts: &hostList{}, source: &source{}, store: &lateStore{Memory: store.NewMemory()},
		decoded: map[string]core.Ownership{}, uses: map[string]use{}, grants: map[string]core.Instant{}, versions: map[string]int64{},
	}
	targets := map[string]core.TargetSettings{}
	for n := range 4 {
		targets[fmt.Sprintf("t%d", n)] = core.TargetSettings{Zone: fmt.Sprintf("l%d", n%2)}
	}
	w.source.snapshot = core.Snapshot{
		RegionOf: map[string]string{"l0": "luzon", "l1": "luzon", "v0": "visayas"},
		Settings: core.Settings{Services: map[string]core.ServiceSettings{"bookings": {Targets: targets}}},
	}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		h := core.Host{Host: name, LinkAddress: name + ":1", Region: "luzon", State: core.HostReady, Zone: fmt.Sprintf("l%d", i%2)}
		if name == "e" {
			h.Region, h.Zone = "visayas", "v0"
		}
		n := &node{host: h, documents: map[string]core.Ownership{}, severed: map[string]core.Instant{}}
		w.nodes = append(w.nodes, n)
		w.startSteer(n)
		w.start(n)
	}
	w.run(15 * time.Second)
	w.assertUsable()
	return w
}

// Hosts implements core.HostView.Hosts.
func (w *world) Hosts() []core.Host { return *w.hosts }

// start starts a new entry process on the host.
func (w *world) start(n *node) {
	n.restarts++
	n.dead, n.paused, n.inbox, n.documents = false, 0, nil, map[string]core.Ownership{}
	var holder *Holder
	holder = NewHolder(n.host.Host, n.host.Region, fmt.Sprintf("%s%d", n.host.Host, n.restarts), "", w.clock, nil, w,
		WithDeadline(func(string) time.Duration { return deadline }), WithInUse(func(object string) int {
			if u := w.uses[object]; u.by == n.host.Host+"/"+holder.incarnation && w.clock.now.Before(u.until) {
				return 1
			}
			return 0
		}))
	n.holder = holder
	n.grantor = NewGrantor(n.holder, func() bool { return n.steer.StoreDown() })
}

func (w *world) startSteer(n *node) {
	ids := 0
	n.steer = owner.New(n.host.Host, n.host.Region, w.store, w.clock, w.source, w,
		owner.WithAdvice(func(a core.LeaseAdvice) { n.advice = append(n.advice, a) }),
		owner.WithBackoff(func(int) time.Duration { return 0 }),
		owner.WithChangeID(func() string {
			ids++
			return fmt.Sprintf("%s-%d-%d", n.host.Host, w.ticks, ids)
		}))
}

func (w *world) user(n *node) string { return n.host.Host + "/" + n.holder.Incarnation() }

// replace starts a new process beside the present one, which goes on after a pause.
func (w *world) replace(n *node, pause time.Duration) {
	zombie := *n
	zombie.paused = w.clock.now.Add(pause)
	w.start(n)
	zombie.documents = n.documents
	w.zombies = append(w.zombies, &zombie)
}

// runs reports whether the entry process of the host takes steps.
func (w *world) runs(n *node) bool { return !n.dead && !w.clock.now.Before(n.paused) }

// reaches reports whether messages pass between two hosts.
func (w *world) reaches(a, b *node) bool {
	return w.runs(b) && !w.clock.now.Before(max(a.cut, b.cut, a.severed[b.host.Host], b.severed[a.host.Host]))
}

// deliver hands a message or answer to the process of n: at once, a few ticks later, after its pause, or never.
func (w *world) deliver(n *node, message func()) {
	holder := n.holder
	receive := func() {
		if n.holder == holder && !n.dead {
			n.inbox = append(n.inbox, message)
		}
	}
	fate := w.outcome % 8
	w.outcome /= 8
	switch fate {
	case 1:
	case 2:
		w.late = append(w.late, receive)
	default:
		receive()
		if w.runs(n) {
			w.receive(n)
		}
	}
}

func (w *world) receive(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, message := range inbox {
		message()
	}
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.clock.now.Add(d); w.clock.now.Before(end); {
		w.step(0)
	}
}

// step lets every process take one step; outcome decides the fate of its messages.
func (w *world) step(outcome int) {
	w.outcome = outcome
	w.ticks++
	w.clock.now = w.clock.now.Add(tick)
	if w.ticks%8 == 0 {
		late, held := w.late, w.store.held
		w.late, w.store.held = nil, nil
		for _, f := range append(late, held...) {
			f()
		}
	}
	for _, n := range w.nodes {
		w.register(n)
		if w.ticks%2 == 0 {
			w.stepSteer(n)
		}
	}
	for _, n := range append(slices.Clone(w.nodes), w.zombies...) {
		if w.runs(n) {
			w.receive(n)
			w.stepDocuments(n)
			w.stepHolder(n)
			w.stepGrantor(n)
		}
		w.useAll(n)
	}
}

// register writes the registration of a running process to the store, from which all hosts know it at once.
func (w *world) register(n *node) {
	if !w.runs(n) || n.written == n.holder.Incarnation() {
		return
	}
	h := n.host
	h.Incarnation = n.holder.Incarnation()
	value, err := json.Marshal(h)
	assert.NilError(w.t, err)
	old, _ := w.store.Get(context.Background(), core.KeyHostsPrefix+h.Host)
	if _, err := w.store.Memory.Put(context.Background(), core.KeyHostsPrefix+h.Host, value, old.Version); err != nil {
		return
	}
	n.written = h.Incarnation
	next := slices.DeleteFunc(slices.Clone(*w.hosts), func(other core.Host) bool { return other.Host == h.Host })
	next = append(next, h)
	w.hosts = &next
}

// stepSteer lets the steer read the store, work and advise.
func (w *world) stepSteer(n *node) {
	n.steer.SetLocal("")
	if w.runs(n) && n.written == n.holder.Incarnation() {
		n.steer.SetLocal(n.written)
	}
	for _, region := range []string{"luzon", "visayas"} {
		if w.clock.now.Before(n.lagging) {
			continue
		}
		if d, ok := w.document(region); ok {
			n.steer.Observe(d)
			n.documents[region] = d
		}
	}
	if w.ticks%40 == 0 {
		_ = n.steer.Refresh(context.Background())
	}
	n.steer.Tick(context.Background())
	if own, ok := n.steer.Current(); ok {
		n.documents[own.Region] = own
	}
	for _, a := range n.advice {
		if w.clock.now.Before(n.away) {
			break
		}
		w.deliver(n, func() { n.holder.Advise(a) })
	}
	n.advice = nil
}

// document returns the document that the store has; each version is decoded once.
func (w *world) document(region string) (core.Ownership, bool) {
	object, err := w.store.Get(context.Background(), core.KeyOwnershipPrefix+region)
	if err != nil {
		return core.Ownership{}, false
	}
	if w.versions[region] != object.Version {
		var d core.Ownership
		assert.NilError(w.t, json.Unmarshal(object.Value, &d))
		w.decoded[region], w.versions[region] = d, object.Version
	}
	return w.decoded[region], true
}

// stepDocuments hands the newest documents that the steer knows to the entry process.
func (w *world) stepDocuments(n *node) {
	if w.clock.now.Before(max(n.away, n.frozen)) {
		return
	}
	for _, region := range []string{"luzon", "visayas"} {
		if d, ok := n.documents[region]; ok {
			w.deliver(n, func() { n.holder.SetOwnership(d) })
		}
	}
}

// stepHolder renews and changes what is due.
func (w *world) stepHolder(n *node) {
	if w.ticks%2 == 0 {
		for _, r := range n.holder.grantorRenewals(w.clock.now) {
			w.ask(n, r)
		}
		if r, ok := n.holder.storeRenewal(w.clock.now); ok && !w.clock.now.Before(n.away) {
			reply := n.steer.Confirm(context.Background(), r.request)
			w.deliver(n, func() { n.holder.confirmed(r, reply) })
		}
	}
	c, ok := n.holder.planChange(w.clock.now)
	if !ok || w.clock.now.Before(n.away) {
		return
	}
	if w.outcome%8 == 3 {
		// The steer makes the change after the process has given up waiting.
		w.late = append(w.late, func() { n.steer.Change(context.Background(), c) })
		n.holder.changed(c, core.LeaseUnknown)
		return
	}
	reply := n.steer.Change(context.Background(), c)
	w.deliver(n, func() { n.holder.changed(c, outcomeOf(reply, nil)) })
}

// ask sends one renewal to a grantor.
func (w *world) ask(n *node, r renewal) {
	i := slices.IndexFunc(w.nodes, func(other *node) bool { return other.host.LinkAddress == r.address })
	if !w.reaches(n, w.nodes[i]) {
		return
	}
	reply := w.nodes[i].grantor.Confirm(r.request)
	w.deliver(n, func() { n.holder.confirmed(r, reply) })
}

// stepGrantor checks the grantees, spreads withdrawals and asks for revocations.
func (w *world) stepGrantor(n *node) {
	for _, notice := range n.grantor.check() {
		payload, err := msgpack.Marshal(notice.message)
		assert.NilError(w.t, err)
		for _, other := range w.nodes {
			if !slices.Contains(notice.addresses, other.host.LinkAddress) || !w.reaches(n, other) {
				continue
			}
			w.deliver(other, func() {
				if other.host.Host == notice.message.Host {
					other.steer.HandleWithdrawn("", payload)
					return
				}
				other.grantor.Withdrawn(notice.message)
			})
		}
	}
	for _, r := range n.grantor.revocations() {
		if w.clock.now.Before(n.away) {
			break
		}
		reply := n.steer.Revoke(context.Background(), r)
		w.deliver(n, func() { n.grantor.resolve(reply) })
	}
}

// useAll starts a use of every object that the process may use and goes on with earlier uses that are still valid; it
// fails if another process uses the object.
func (w *world) useAll(n *node) {
	if !w.runs(n) {
		return
	}
	by := w.user(n)
	for object := range n.holder.view.Load().objects {
		earlier := w.grants[by+object]
		_, owns := n.holder.Owns(object)
		if !owns && (!w.clock.now.Before(earlier) || !w.clock.now.Before(n.holder.ValidUntil(object))) {
			continue
		}
		if u, ok := w.uses[object]; ok && u.by != by && w.clock.now.Before(u.until) {
			assert.Assert(w.t, false, "%s is used by %s while %s uses it", object, by, u.by)
		}
		if owns {
			w.grants[by+object] = w.clock.now.Add(deadline)
			w.uses[object] = use{by: by, until: w.grants[by+object]}
		}
	}
}

// assertUsable fails unless every object has an owner that may use it.
func (w *world) assertUsable() {
	usable := map[string]string{}
	for _, n := range w.nodes {
		for object := range n.holder.view.Load().objects {
			if _, ok := n.holder.Owns(object); ok && w.runs(n) {
				usable[object] = n.host.Host
			}
		}
	}
	object, _ := w.store.Get(context.Background(), core.KeyOwnershipPrefix+"luzon")
	assert.Equal(w.t, len(usable), 4, "usable objects %v; document %s", usable, object.Value)
}

// Guards against one death that ends the leases of others while the store is away, which happened when each lease
// depended on one grantor with a valid lease of its own.
func TestDeathDuringOutage(t *testing.T) {
	for _, known := range []bool{true, false} {
		for victim := range 5 {
			t.Run(fmt.Sprintf("victim %d, outage known %t", victim, known), func(t *testing.T) {
				w := newWorld(t)
				w.store.SetFaults(store.Faults{Outage: true})
				if known {
					w.run(12 * time.Second)
				}
				w.nodes[victim].dead = true
				for range int(time.Minute / tick) {
					w.step(0)
					for i, n := range w.nodes {
						if i != victim {
							assert.Assert(t, w.clock.now.Before(n.holder.view.Load().validUntil), "host %s lost its lease", n.host.Host)
						}
					}
				}
				w.store.SetFaults(store.Faults{})
				w.run(20 * time.Second)
				w.assertUsable()
			})
		}
	}
}
