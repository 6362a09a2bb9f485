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

// tick is the time between two steps of the simulation.
const tick = granteeCheckInterval

// simulation is a deployment of two regions with real holders, grantors and steers; the test controls messages, time and
// the store.
type simulation struct {
	t             assert.TestingT
	clock         *clock
	decoded       map[string]core.Ownership
	hosts         *hostList
	delayed       []func()
	nodes         []*node
	source        *source
	store         *delayedStore
	messageFaults int // remaining random bits; each message uses three to select its loss or delay
	ticks         int
	uses          map[string]use
	// useEnds maps processes and objects to the end of the latest use.
	useEnds map[string]core.Instant
	// versions holds the store versions of the decoded documents.
	versions map[string]int64
	// zombies are replaced processes that continue to run; other hosts cannot reach them.
	zombies []*node
}

// use is the latest use of an object. It ends at the request deadline even if the process is paused.
type use struct {
	process string
	until   core.Instant
}

// node is one host: an entry process, its steer and the messages that it has not received yet.
type node struct {
	advice                []core.LeaseAdvice
	steerUnreachableUntil core.Instant // the entry process cannot reach its steer
	partitionedUntil      core.Instant // no messages to or from the entry processes of other hosts
	dead                  bool
	documentsBlockedUntil core.Instant // the entry process receives no documents
	grantor               *Grantor
	holder                *Holder
	host                  core.Host
	inbox                 []func()
	steerStaleUntil       core.Instant // the steer is not sent newer documents, but still reads the store
	pausedUntil           core.Instant
	restarts              int
	linkDownUntil         map[string]core.Instant // links to other hosts are down
	steer                 *owner.Documents
	registered            string // the last incarnation written to the store
	documents             map[string]core.Ownership
}

// delayedStore is an in-memory store whose next writes return an unknown result and may take effect later.
type delayedStore struct {
	*store.Memory
	putsToDelay int
	delayedPuts []func()
}

func (s *delayedStore) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if s.putsToDelay == 0 || s.Faults().Outage {
		return s.Memory.Put(ctx, key, value, version)
	}
	s.putsToDelay--
	s.delayedPuts = append(s.delayedPuts, func() { _, _ = s.Memory.Put(ctx, key, value, version) })
	return 0, core.ErrUncertain
}

// source is a settings source with fixed settings.
type source struct{ snapshot core.Snapshot }

func (s *source) Current() *core.Snapshot { return &s.snapshot }

// newSimulation returns a deployment in which every object has a usable owner: four hosts in luzon, one in visayas, and
// four targets in luzon.
func newSimulation(t assert.TestingT) *simulation {
	s := &simulation{
		t: t, clock: &clock{now: 1}, hosts: &hostList{}, source: &source{}, store: &delayedStore{Memory: store.NewMemory()},
		decoded: map[string]core.Ownership{}, uses: map[string]use{}, useEnds: map[string]core.Instant{}, versions: map[string]int64{},
	}
	targets := map[string]core.TargetSettings{}
	for n := range 4 {
		targets[fmt.Sprintf("t%d", n)] = core.TargetSettings{Zone: fmt.Sprintf("l%d", n%2)}
	}
	s.source.snapshot = core.Snapshot{
		RegionOf: map[string]string{"l0": "luzon", "l1": "luzon", "v0": "visayas"},
		Settings: core.Settings{Services: map[string]core.ServiceSettings{"bookings": {Targets: targets}}},
	}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		h := core.Host{Host: name, LinkAddress: name + ":1", Region: "luzon", State: core.HostReady, Zone: fmt.Sprintf("l%d", i%2)}
		if name == "e" {
			h.Region, h.Zone = "visayas", "v0"
		}
		n := &node{host: h, documents: map[string]core.Ownership{}, linkDownUntil: map[string]core.Instant{}}
		s.nodes = append(s.nodes, n)
		s.startSteer(n)
		s.start(n)
	}
	s.runFor(15 * time.Second)
	s.assertUsable()
	return s
}

// Hosts implements core.HostView.Hosts.
func (s *simulation) Hosts() []core.Host { return *s.hosts }

// start starts a new entry process on the host of n.
func (s *simulation) start(n *node) {
	n.restarts++
	n.dead, n.pausedUntil, n.inbox, n.documents = false, 0, nil, map[string]core.Ownership{}
	var holder *Holder
	holder = NewHolder(n.host.Host, n.host.Region, fmt.Sprintf("%s%d", n.host.Host, n.restarts), "", s.clock, nil, s,
		WithMaxDeadline(func(string) time.Duration { return deadline }), WithInUse(func(object string) int {
			if u := s.uses[object]; u.process == n.host.Host+"/"+holder.incarnation && s.clock.now.Before(u.until) {
				return 1
			}
			return 0
		}))
	n.holder = holder
	n.grantor = NewGrantor(n.holder, func() bool { return n.steer.StoreDown() })
}

func (s *simulation) startSteer(n *node) {
	ids := 0
	n.steer = owner.New(n.host.Host, n.host.Region, s.store, s.clock, s.source, s,
		owner.WithOnAdvice(func(a core.LeaseAdvice) { n.advice = append(n.advice, a) }),
		owner.WithBackoff(func(int) time.Duration { return 0 }),
		owner.WithChangeID(func() string {
			ids++
			return fmt.Sprintf("%s-%d-%d", n.host.Host, s.ticks, ids)
		}))
}

func (s *simulation) processOf(n *node) string { return n.host.Host + "/" + n.holder.Incarnation() }

// replace starts a new process on the host of n; the old one continues after a pause.
func (s *simulation) replace(n *node, pause time.Duration) {
	zombie := *n
	zombie.pausedUntil = s.clock.now.Add(pause)
	s.start(n)
	zombie.documents = n.documents
	s.zombies = append(s.zombies, &zombie)
}

// running reports whether the entry process of n is alive and not paused.
func (s *simulation) running(n *node) bool { return !n.dead && !s.clock.now.Before(n.pausedUntil) }

// reachable reports whether messages pass from a to the running process of b.
func (s *simulation) reachable(a, b *node) bool {
	return s.running(b) && !s.clock.now.Before(max(
		a.partitionedUntil, b.partitionedUntil, a.linkDownUntil[b.host.Host], b.linkDownUntil[a.host.Host],
	))
}

// deliver passes a message or response to the process of n: immediately, a few ticks later, after the process's pause,
// or never.
func (s *simulation) deliver(n *node, message func()) {
	holder := n.holder
	receive := func() {
		if n.holder == holder && !n.dead {
			n.inbox = append(n.inbox, message)
		}
	}
	fault := s.messageFaults % 8
	s.messageFaults /= 8
	switch fault {
	case 1:
	case 2:
		s.delayed = append(s.delayed, receive)
	default:
		receive()
		if s.running(n) {
			s.receive(n)
		}
	}
}

func (s *simulation) receive(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, message := range inbox {
		message()
	}
}

// runFor advances the simulation by d without message faults.
func (s *simulation) runFor(d time.Duration) {
	for end := s.clock.now.Add(d); s.clock.now.Before(end); {
		s.step(0)
	}
}

// step advances the simulation by one tick; messageFaults selects which messages are lost or delayed.
func (s *simulation) step(messageFaults int) {
	s.messageFaults = messageFaults
	s.ticks++
	s.clock.now = s.clock.now.Add(tick)
	if s.ticks%8 == 0 {
		messages, puts := s.delayed, s.store.delayedPuts
		s.delayed, s.store.delayedPuts = nil, nil
		for _, f := range append(messages, puts...) {
			f()
		}
	}
	for _, n := range s.nodes {
		s.register(n)
		if s.ticks%2 == 0 {
			s.stepSteer(n)
		}
	}
	for _, n := range append(slices.Clone(s.nodes), s.zombies...) {
		if s.running(n) {
			s.receive(n)
			s.stepDocuments(n)
			s.stepHolder(n)
			s.stepGrantor(n)
		}
		s.useObjects(n)
	}
}

// register stores the registration of a running process; all hosts see it immediately.
func (s *simulation) register(n *node) {
	if !s.running(n) || n.registered == n.holder.Incarnation() {
		return
	}
	h := n.host
	h.Incarnation = n.holder.Incarnation()
	value, err := json.Marshal(h)
	assert.NilError(s.t, err)
	old, _ := s.store.Get(context.Background(), core.KeyHostsPrefix+h.Host)
	if _, err := s.store.Memory.Put(context.Background(), core.KeyHostsPrefix+h.Host, value, old.Version); err != nil {
		return
	}
	n.registered = h.Incarnation
	next := slices.DeleteFunc(slices.Clone(*s.hosts), func(other core.Host) bool { return other.Host == h.Host })
	next = append(next, h)
	s.hosts = &next
}

// stepSteer runs the steer once: it reads the store, does its periodic work and sends its advice.
func (s *simulation) stepSteer(n *node) {
	n.steer.SetLocalIncarnation("")
	if s.running(n) && n.registered == n.holder.Incarnation() {
		n.steer.SetLocalIncarnation(n.registered)
	}
	for _, region := range []string{"luzon", "visayas"} {
		if s.clock.now.Before(n.steerStaleUntil) {
			continue
		}
		if d, ok := s.document(region); ok {
			n.steer.Observe(d)
			n.documents[region] = d
		}
	}
	if s.ticks%40 == 0 {
		_ = n.steer.Refresh(context.Background())
	}
	n.steer.Tick(context.Background())
	if own, ok := n.steer.Current(); ok {
		n.documents[own.Region] = own
	}
	for _, a := range n.advice {
		if s.clock.now.Before(n.steerUnreachableUntil) {
			break
		}
		s.deliver(n, func() { n.holder.Advise(a) })
	}
	n.advice = nil
}

// document returns the stored document of a region; each version is decoded once.
func (s *simulation) document(region string) (core.Ownership, bool) {
	object, err := s.store.Get(context.Background(), core.KeyOwnershipPrefix+region)
	if err != nil {
		return core.Ownership{}, false
	}
	if s.versions[region] != object.Version {
		var d core.Ownership
		assert.NilError(s.t, json.Unmarshal(object.Value, &d))
		s.decoded[region], s.versions[region] = d, object.Version
	}
	return s.decoded[region], true
}

// stepDocuments passes the newest documents of the steer to the entry process.
func (s *simulation) stepDocuments(n *node) {
	if s.clock.now.Before(max(n.steerUnreachableUntil, n.documentsBlockedUntil)) {
		return
	}
	for _, region := range []string{"luzon", "visayas"} {
		if d, ok := n.documents[region]; ok {
			s.deliver(n, func() { n.holder.SetOwnership(d) })
		}
	}
}

// stepHolder sends the renewals and the membership change that are due.
func (s *simulation) stepHolder(n *node) {
	if s.ticks%2 == 0 {
		for _, r := range n.holder.grantorRenewals(s.clock.now) {
			s.renewAt(n, r)
		}
		if r, ok := n.holder.storeRenewal(s.clock.now); ok && !s.clock.now.Before(n.steerUnreachableUntil) {
			reply := n.steer.Confirm(context.Background(), r.request)
			s.deliver(n, func() { n.holder.recordConfirmation(r, reply) })
		}
	}
	c, ok := n.holder.planChange(s.clock.now)
	if !ok || s.clock.now.Before(n.steerUnreachableUntil) {
		return
	}
	if s.messageFaults%8 == 3 {
		// The steer applies the change after the request has timed out.
		s.delayed = append(s.delayed, func() { n.steer.Change(context.Background(), c) })
		n.holder.recordOutcome(c, core.LeaseUnknown)
		return
	}
	reply := n.steer.Change(context.Background(), c)
	s.deliver(n, func() { n.holder.recordOutcome(c, outcomeOf(reply, nil)) })
}

// renewAt sends one renewal to a grantor, if it is reachable.
func (s *simulation) renewAt(n *node, r renewal) {
	i := slices.IndexFunc(s.nodes, func(other *node) bool { return other.host.LinkAddress == r.address })
	if !s.reachable(n, s.nodes[i]) {
		return
	}
	reply := s.nodes[i].grantor.Confirm(r.request)
	s.deliver(n, func() { n.holder.recordConfirmation(r, reply) })
}

// stepGrantor checks the grantees, delivers withdrawals and requests revocations.
func (s *simulation) stepGrantor(n *node) {
	for _, notice := range n.grantor.checkGrantees() {
		payload, err := msgpack.Marshal(notice.message)
		assert.NilError(s.t, err)
		for _, other := range s.nodes {
			if !slices.Contains(notice.addresses, other.host.LinkAddress) || !s.reachable(n, other) {
				continue
			}
			s.deliver(other, func() {
				if other.host.Host == notice.message.Host {
					other.steer.HandleWithdrawn("", payload)
					return
				}
				other.grantor.ObserveWithdrawal(notice.message)
			})
		}
	}
	for _, r := range n.grantor.dueRevocations() {
		if s.clock.now.Before(n.steerUnreachableUntil) {
			break
		}
		reply := n.steer.Revoke(context.Background(), r)
		s.deliver(n, func() { n.grantor.recordRevokeReply(reply) })
	}
}

// useObjects starts a use of every object that the process owns and continues earlier uses that are still valid. It
// fails if another process is using the object.
func (s *simulation) useObjects(n *node) {
	if !s.running(n) {
		return
	}
	process := s.processOf(n)
	for object := range n.holder.state.Load().objects {
		useEnd := s.useEnds[process+object]
		_, owns := n.holder.Owns(object)
		if !owns && (!s.clock.now.Before(useEnd) || !s.clock.now.Before(n.holder.ValidUntil(object))) {
			continue
		}
		if u, ok := s.uses[object]; ok && u.process != process && s.clock.now.Before(u.until) {
			assert.Assert(s.t, false, "%s is used by %s while %s uses it", object, process, u.process)
		}
		if owns {
			s.useEnds[process+object] = s.clock.now.Add(deadline)
			s.uses[object] = use{process: process, until: s.useEnds[process+object]}
		}
	}
}

// assertUsable fails unless every object has a running owner that may use it.
func (s *simulation) assertUsable() {
	usable := map[string]string{}
	for _, n := range s.nodes {
		for object := range n.holder.state.Load().objects {
			if _, ok := n.holder.Owns(object); ok && s.running(n) {
				usable[object] = n.host.Host
			}
		}
	}
	object, _ := s.store.Get(context.Background(), core.KeyOwnershipPrefix+"luzon")
	assert.Equal(s.t, len(usable), 4, "usable objects %v; document %s", usable, object.Value)
}

// TestDeathDuringOutage guards against the death of one process that ends the leases of others during a store outage.
// This happened when each lease depended on one grantor with a valid lease of its own.
func TestDeathDuringOutage(t *testing.T) {
	for _, known := range []bool{true, false} {
		for victim := range 5 {
			t.Run(fmt.Sprintf("victim %d, outage known %t", victim, known), func(t *testing.T) {
				s := newSimulation(t)
				s.store.SetFaults(store.Faults{Outage: true})
				if known {
					s.runFor(12 * time.Second)
				}
				s.nodes[victim].dead = true
				for range int(time.Minute / tick) {
					s.step(0)
					for i, n := range s.nodes {
						if i != victim {
							assert.Assert(t, s.clock.now.Before(n.holder.state.Load().validUntil), "host %s lost its lease", n.host.Host)
						}
					}
				}
				s.store.SetFaults(store.Faults{})
				s.runFor(20 * time.Second)
				s.assertUsable()
			})
		}
	}
}
