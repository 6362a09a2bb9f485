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

// startLength is the length of the random name of a process run; it must only differ from the runs of the last minute
// on this host.
const startLength = 8

var _ core.HostView = (*Members)(nil)

// Members tracks the registered hosts of the deployment and which of them are suspected.
type Members struct {
	links     core.Links
	log       *zap.Logger
	onChange  func(core.HostsUpdate)
	onWritten func(core.Host)
	start     string
	store     core.Store
	timer     core.Timer

	// registrationChanged wakes the task that writes this host's registration, and urgent starts a tick before its time.
	registrationChanged chan struct{}
	urgent              chan struct{}
	suspected           atomic.Pointer[[]string]
	visible             atomic.Pointer[[]core.Host]

	// mu guards the fields below. sortedApplied is the value of table.applied when all and serving were sorted, and
	// publishedApplied its value at the last tick.
	mu            sync.Mutex
	all           []core.Host
	connected     map[string]bool
	digestSentAt  core.Instant
	lastList      []core.MemberDigest
	listSchedule  resendSchedule
	sortedApplied int
	serving       []core.Host
	// changedSinceSend is set when digests or updates must be sent before their next regular time.
	changedSinceSend bool
	sentDigests      map[string]sentDigest
	downSince        map[string]core.Instant
	// caughtUpAt is when the registrations were last completed by an update without a gap or by a full read, or the time
	// of creation before that.
	caughtUpAt     core.Instant
	updateSchedule resendSchedule
	nextPollAt     core.Instant
	// pollJitter keeps the hosts of a zone that lost both relays from reading the store at the same time.
	pollJitter       time.Duration
	sequence         int64
	sentVersion      int64
	publishedApplied int
	table            *table
	// The following maps hold by host name whether the link was up at the last check. A host whose link has come up since
	// gets a message at once: the hosts of the zone (sentHosts) an update, exporters (sentExporters) all digests in full,
	// other relays (sentRelays) a list of digests.
	sentHosts     map[string]bool
	sentExporters map[string]bool
	sentRelays    map[string]bool
}

// New returns the membership of the host self and registers its handlers with the links.
func New(self core.Host, store core.Store, timer core.Timer, links core.Links, options ...Option) *Members {
	m := &Members{
		connected:           map[string]bool{},
		downSince:           map[string]core.Instant{},
		links:               links,
		listSchedule:        resendSchedule{idle: digestIdleInterval, interval: digestInterval, settleTime: digestSettled},
		log:                 zap.NewNop(),
		onChange:            func(core.HostsUpdate) {},
		onWritten:           func(core.Host) {},
		pollJitter:          mathrand.N(updateTimeout / 2),
		registrationChanged: make(chan struct{}, 1),
		start:               rand.Text()[:startLength],
		store:               store,
		table:               newTable(self, timer.Now()),
		timer:               timer,
		sentHosts:           map[string]bool{},
		updateSchedule:      resendSchedule{idle: updateIdleInterval, interval: updateInterval, settleTime: updateSettled},
		urgent:              make(chan struct{}, 1),
	}
	for _, o := range options {
		o(m)
	}
	m.caughtUpAt = timer.Now()
	m.publish()
	links.HandleMessage(core.TopicMember, m.handleUpdate)
	links.HandleRequest(core.TopicMember, m.handleAll)
	return m
}

// All returns all registrations in any state, sorted by name. The slice must not be modified; it stays the same until a
// registration changes.
func (m *Members) All() []core.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	all, _ := m.sortedHosts()
	return all
}

// Hosts implements core.HostView.Hosts; it excludes suspected hosts.
func (m *Members) Hosts() []core.Host {
	return *m.visible.Load()
}

// Registered returns a view of all hosts that are ready or draining, including suspected ones, because leases and
// ownership do not depend on suspicions.
func (m *Members) Registered() core.HostView {
	return registered{m}
}

// SetState sets the state and the incarnation in the registration of this host.
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
	wake(m.registrationChanged)
}

// Suspected returns the names of the suspected hosts that are registered as ready or draining.
func (m *Members) Suspected() []string {
	return *m.suspected.Load()
}

// handleAll responds to a core.TopicMember request with all registrations.
func (m *Members) handleAll(context.Context, string, []byte) ([]byte, error) {
	m.mu.Lock()
	update := core.MemberUpdate{Author: m.table.self.Host, Version: m.table.version}
	for _, e := range m.table.registrations {
		if e.version > 0 {
			update.Changes = append(update.Changes, core.HostChange{Host: e.host, Version: e.version})
		}
	}
	m.mu.Unlock()
	return wire.Encode(update)
}

// handleUpdate adopts an update from a relay.
func (m *Members) handleUpdate(peer string, payload []byte) {
	var update core.MemberUpdate
	if err := wire.Decode(payload, &update); err != nil {
		event.DocumentInvalid.Write(m.log, zap.String("peer", peer), zap.Error(err))
		return
	}
	m.mu.Lock()
	now := m.timer.Now()
	changed := m.table.adoptDigests(update, now)
	wakeNow := changed || len(update.Changes) > 0
	if update.ForHosts {
		wakeNow = wakeNow || !maps.Equal(m.table.updates[update.Author].suspected, toSet(update.Suspected))
		m.table.updates[update.Author] = report{receivedAt: now, suspected: toSet(update.Suspected)}
	}
	m.table.apply(update.Changes, now)
	// Changes missing before Base are fetched from a relay by catchUp.
	if update.ForHosts && update.Base <= m.table.version {
		m.caughtUpAt = now
		m.table.version = max(m.table.version, update.Version)
	}
	m.changedSinceSend = m.changedSinceSend || changed
	m.mu.Unlock()
	// A tick takes 0.6 ms at 690 hosts, and relays receive up to 60 messages per second. Messages without news wait for
	// the next tick, which also detects overdue ones.
	if wakeNow {
		wake(m.urgent)
	}
}

// sortedHosts returns all registrations and those of serving hosts, sorted by name; the caller holds the mutex. The
// slices are cached, because sorting 690 hosts for each of the eight calls per second took 2 percent of the time of a
// steer process at 32 hosts.
func (m *Members) sortedHosts() (all, servingHosts []core.Host) {
	if m.all == nil || m.sortedApplied != m.table.applied {
		m.all = sorted(m.table.hosts())
		m.serving = slices.DeleteFunc(slices.Clone(m.all), func(h core.Host) bool { return !serving(h) })
		m.sortedApplied = m.table.applied
	}
	return m.all, m.serving
}

// publish updates the lists that Hosts and Suspected return and calls onChange.
func (m *Members) publish() {
	m.mu.Lock()
	all, servingHosts := m.sortedHosts()
	update := core.HostsUpdate{Hosts: all, Suspected: slices.Sorted(maps.Keys(m.table.suspected))}
	visible := make([]core.Host, 0, len(servingHosts))
	var suspected []string
	for _, h := range servingHosts {
		if m.table.suspected[h.Host] {
			suspected = append(suspected, h.Host)
			continue
		}
		visible = append(visible, h)
	}
	m.visible.Store(&visible)
	m.suspected.Store(&suspected)
	m.mu.Unlock()
	m.onChange(update)
}

// logSuspicions logs the differences between two sets of suspected hosts.
func (m *Members) logSuspicions(before, after map[string]bool) {
	for name := range after {
		if !before[name] {
			event.MemberSuspected.Write(m.log, zap.String("host", name))
		}
	}
	for name := range before {
		if !after[name] {
			event.MemberRecovered.Write(m.log, zap.String("host", name))
		}
	}
}

// serving reports whether a host is ready or draining.
func serving(h core.Host) bool {
	return h.State == core.HostReady || h.State == core.HostDraining
}

// sorted returns the hosts sorted by name.
func sorted(hosts map[string]core.Host) []core.Host {
	return slices.SortedFunc(maps.Values(hosts), func(a, b core.Host) int { return strings.Compare(a.Host, b.Host) })
}

// wake signals the receiver of c without blocking.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
