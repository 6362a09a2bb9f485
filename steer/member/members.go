package member

import (
	"context"
	"crypto/rand"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

// startLength is the length of the name of a run; it only has to differ from the runs of the last minute on this host.
const startLength = 8

var _ core.HostView = (*Members)(nil)

// Members knows the hosts of the deployment and which of them are heard from.
type Members struct {
	links     core.Links
	log       *zap.Logger
	onChange  func(core.HostsUpdate)
	onWritten func(core.Host)
	start     string
	store     core.Store
	timer     core.Timer

	registration chan struct{}
	urgent       chan struct{}
	suspected    atomic.Pointer[[]string]
	view         atomic.Pointer[[]core.Host]

	mu          sync.Mutex
	all         []core.Host
	connected   map[string]bool
	digestAt    core.Instant
	listed      []core.MemberDigest
	listPace    pace
	listedAt    int
	ready       []core.Host
	dirty       bool
	exchanged   map[string]exchanged
	downSince   map[string]core.Instant
	updateHeard core.Instant
	updatePace  pace
	pollAt      core.Instant
	// pollJitter keeps the hosts of a zone that lost both relays from reading the store all at once.
	pollJitter time.Duration
	sequence   int64
	sentTo     int64
	shown      int
	table      *table
	// told names the hosts of the zone that got an update, toldExporters the exporters that got all digests in full and
	// toldRelays the relays that got a list of digests, since their links came up.
	told          map[string]bool
	toldExporters map[string]bool
	toldRelays    map[string]bool
}

// New returns the membership of the host that self describes; its handlers are registered with links.
func New(self core.Host, store core.Store, timer core.Timer, links core.Links, options ...Option) *Members {
	m := &Members{
		connected:    map[string]bool{},
		downSince:    map[string]core.Instant{},
		links:        links,
		listPace:     pace{idle: digestIdle, interval: digestInterval, settled: digestSettled},
		log:          zap.NewNop(),
		onChange:     func(core.HostsUpdate) {},
		onWritten:    func(core.Host) {},
		pollJitter:   mathrand.N(updateTimeout / 2),
		registration: make(chan struct{}, 1),
		start:        rand.Text()[:startLength],
		store:        store,
		table:        newTable(self, timer.Now()),
		timer:        timer,
		told:         map[string]bool{},
		updatePace:   pace{idle: updateIdle, interval: updateInterval, settled: updateSettled},
		urgent:       make(chan struct{}, 1),
	}
	for _, o := range options {
		o(m)
	}
	m.updateHeard = timer.Now()
	m.publish()
	links.HandleMessage(core.TopicMember, m.handleUpdate)
	links.HandleRequest(core.TopicMember, m.handleAll)
	return m
}

// All returns all registrations, whatever their state, in the order of their names. The slice must not be modified; it is
// the same one until a registration changes.
func (m *Members) All() []core.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	all, _ := m.lists()
	return all
}

// Hosts implements core.HostView.Hosts; suspected hosts are left out.
func (m *Members) Hosts() []core.Host {
	return *m.view.Load()
}

// Registered returns a view of all hosts that are ready or draining, suspected or not: leases and ownership do not
// depend on suspicions.
func (m *Members) Registered() core.HostView {
	return registered{m}
}

// SetState changes the state and the incarnation of the own registration.
func (m *Members) SetState(state core.HostState, incarnation string) {
	m.mu.Lock()
	self := m.table.self
	self.State = state
	self.Incarnation = incarnation
	changed := self != m.table.self
	m.table.setSelf(self)
	m.mu.Unlock()
	if !changed {
		return
	}
	m.publish()
	wake(m.registration)
}

// Suspected returns the names of the hosts that are registered as ready or draining but not heard from.
func (m *Members) Suspected() []string {
	return *m.suspected.Load()
}

// handleAll answers a request for all registrations; it is a request of core.TopicMember.
func (m *Members) handleAll(context.Context, string, []byte) ([]byte, error) {
	m.mu.Lock()
	update := core.MemberUpdate{Author: m.table.self.Host, Version: m.table.version}
	for _, e := range m.table.entries {
		if e.version > 0 {
			update.Changes = append(update.Changes, core.HostChange{Host: e.host, Version: e.version})
		}
	}
	m.mu.Unlock()
	return wire.Encode(update)
}

// handleUpdate takes over what a relay sent.
func (m *Members) handleUpdate(peer string, payload []byte) {
	var update core.MemberUpdate
	if err := wire.Decode(payload, &update); err != nil {
		event.DocumentInvalid.Write(m.log, zap.String("peer", peer), zap.Error(err))
		return
	}
	m.mu.Lock()
	now := m.timer.Now()
	changed := m.table.hear(update, now)
	look := changed || len(update.Changes) > 0
	if update.ForHosts {
		look = look || !maps.Equal(m.table.updates[update.Author].suspected, set(update.Suspected))
		m.table.updates[update.Author] = heard{at: now, suspected: set(update.Suspected)}
	}
	m.table.apply(update.Changes, now)
	// A gap before Base is filled by a request to a relay.
	if update.ForHosts && update.Base <= m.table.version {
		m.updateHeard = now
		m.table.version = max(m.table.version, update.Version)
	}
	m.dirty = m.dirty || changed
	m.mu.Unlock()
	// A look takes 0.6 ms at 690 hosts, and relays get up to 60 messages a second; the next tick notices what is overdue.
	if look {
		wake(m.urgent)
	}
}

// lists returns all registrations and those of serving hosts. They are kept, because sorting 690 hosts for each of the
// eight calls a second took 2 percent of the time of a steer at 32 hosts.
func (m *Members) lists() (all, ready []core.Host) {
	if m.all == nil || m.listedAt != m.table.applied {
		m.all = sorted(m.table.hosts())
		m.ready = slices.DeleteFunc(slices.Clone(m.all), func(h core.Host) bool { return !serving(h) })
		m.listedAt = m.table.applied
	}
	return m.all, m.ready
}

// publish makes the present view visible and tells it.
func (m *Members) publish() {
	m.mu.Lock()
	all, ready := m.lists()
	update := core.HostsUpdate{Hosts: all, Suspected: slices.Sorted(maps.Keys(m.table.suspected))}
	view := make([]core.Host, 0, len(ready))
	var silent []string
	for _, h := range ready {
		if m.table.suspected[h.Host] {
			silent = append(silent, h.Host)
			continue
		}
		view = append(view, h)
	}
	m.view.Store(&view)
	m.suspected.Store(&silent)
	m.mu.Unlock()
	m.onChange(update)
}

// logSuspicions writes the differences between two sets of suspected hosts.
func (m *Members) logSuspicions(before, after map[string]bool) {
	for name := range after {
		if !before[name] {
			event.MemberSuspected.Write(m.log, zap.String("host", name))
		}
	}
	for name := range before {
		if !after[name] {
			event.MemberHeard.Write(m.log, zap.String("host", name))
		}
	}
}

// serving reports whether a host is ready or draining.
func serving(h core.Host) bool {
	return h.State == core.HostReady || h.State == core.HostDraining
}

// sorted returns the hosts in the order of their names.
func sorted(hosts map[string]core.Host) []core.Host {
	return slices.SortedFunc(maps.Values(hosts), func(a, b core.Host) int { return strings.Compare(a.Host, b.Host) })
}

// wake makes the receiver of c look for work.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
