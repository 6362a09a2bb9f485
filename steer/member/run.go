package member

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

const (
	// tickInterval is the time between two looks at the links; changes that arrive are passed on at once.
	tickInterval = 125 * time.Millisecond
	// updateTimeout is the time without an update after which a host reads the store; up to half of it is added at random.
	updateTimeout = 10 * time.Second
	// linkGrace is the time that another host has to dial before this one dials it; that host may not know this one yet.
	// It is shorter than grace, so that a new relay does not suspect hosts that do not know of its duty.
	linkGrace = time.Second
	// catchUpInterval is the time between two requests for all registrations after a gap in the update.
	catchUpInterval = time.Second
)

// message is one update for one host.
type message struct {
	address string
	update  core.MemberUpdate
}

// Run keeps the membership up to date until ctx ends.
func (m *Members) Run(ctx context.Context) {
	m.poll(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { m.register(ctx) })
	tasks.Go(func() { m.watch(ctx) })
	tasks.Go(func() { m.catchUp(ctx) })
	tasks.Go(func() {
		ticks := m.timer.Subscribe(tickInterval)
		defer ticks.Stop()
		for {
			m.tick()
			select {
			case <-ctx.Done():
				return
			case <-ticks.C():
			case <-m.urgent:
			}
		}
	})
	tasks.Wait()
}

// Seed takes over all registrations that the steer at address knows, for a start without the store.
func (m *Members) Seed(ctx context.Context, address string) error {
	payload, err := m.links.Request(ctx, address, core.TopicMember, nil)
	if err != nil {
		return err
	}
	var update core.MemberUpdate
	if err := wire.Decode(payload, &update); err != nil {
		return err
	}
	m.mu.Lock()
	now := m.timer.Now()
	m.updateHeard = now
	m.table.apply(update.Changes, now)
	m.table.version = max(m.table.version, update.Version)
	m.mu.Unlock()
	wake(m.urgent)
	return nil
}

// catchUp fills gaps: it asks a relay for everything, or the store after a time without update.
func (m *Members) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.timer.After(catchUpInterval):
		}
		relay, poll := m.missing(m.timer.Now())
		switch {
		case relay != "":
			if err := m.Seed(ctx, relay); err != nil {
				event.MemberStoreError.Write(m.log, zap.String("relay", relay), zap.Error(err))
			}
		case poll:
			m.poll(ctx)
		}
	}
}

// missing returns the relay to ask because its updates left a gap, or whether it is time to read the store.
func (m *Members) missing(now core.Instant) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.relaying {
		return "", false
	}
	gap := false
	for _, n := range m.table.updates {
		gap = gap || n.at.After(m.updateHeard)
	}
	if gap {
		for _, name := range m.table.topology().relays[m.table.self.Zone] {
			if address := m.table.entries[name].host.SteerAddress; m.links.Alive(address) {
				return address, false
			}
		}
	}
	if now.Sub(m.updateHeard) < updateTimeout+m.pollJitter || now.Before(m.pollAt) {
		return "", false
	}
	m.pollJitter = rand.N(updateTimeout / 2)
	m.pollAt = now.Add(updateTimeout + m.pollJitter)
	return "", true
}

// hostMessages returns the updates for the hosts of the own zone. A host whose link came up gets one at once, since it
// may have missed the last.
func (m *Members) hostMessages(top topology, changed bool, now core.Instant) []message {
	t := m.table
	due := m.updatePace.due(changed, now)
	var addresses []string
	told := make(map[string]bool, len(m.told))
	for _, name := range top.zones[t.self.Zone] {
		if slices.Contains(top.relays[t.self.Zone], name) {
			continue
		}
		address := t.entries[name].host.SteerAddress
		told[name] = m.links.Alive(address)
		if told[name] && (due || !m.told[name]) {
			addresses = append(addresses, address)
		}
	}
	m.told = told
	base := max(m.sentTo, t.trimmed)
	m.sentTo = t.version
	if len(addresses) == 0 {
		return nil
	}
	update := core.MemberUpdate{
		Author:    t.self.Host,
		Base:      base,
		Changes:   t.since(base),
		ForHosts:  true,
		Suspected: slices.Sorted(maps.Keys(t.suspected)),
		Version:   t.version,
	}
	var messages []message
	for _, address := range addresses {
		messages = append(messages, message{address: address, update: update})
	}
	return messages
}

// outgoing returns the messages that are due at now.
func (m *Members) outgoing(now core.Instant) []message {
	t := m.table
	changed := m.dirty
	m.dirty = false
	if !t.relaying {
		clear(m.told)
		clear(m.toldExporters)
		clear(m.toldRelays)
		m.listed = nil
		return nil
	}
	top := t.topology()
	return append(m.relayMessages(top, changed, now), m.hostMessages(top, changed, now)...)
}

// relayMessages returns the digests for the other relays of the region and the next regions. Exporters send each other all
// digests every interval, because a digest that is passed on is valid only as long as its sequence grows. Other relays
// pass none on and get a list when it changes.
func (m *Members) relayMessages(top topology, changed bool, now core.Instant) []message {
	t := m.table
	m.sequence++
	zone := core.MemberDigest{
		Author: t.self.Host, Region: t.self.Region, Sequence: m.sequence, Start: m.start, Zone: t.self.Zone,
		// The own silence alone, not what remains of it after the other relay's digest: both would wait for each other.
		Suspected: t.silence,
	}
	inside := []core.MemberDigest{zone}
	next := top.nextExporters(t.self, t.cachedBase)
	var foreign []core.MemberDigest
	var exporters []string
	if next != nil {
		foreign = t.foreign(now)
		inside = append(inside, foreign...)
		exporters = top.exporters[t.self.Region]
	}
	due := m.listPace.due(!slices.EqualFunc(m.listed, inside, sameOpinion), now)
	m.listed = inside
	told := map[string]bool{}
	var partners []string
	var messages []message
	for _, name := range top.relayPeers(t.self, t.hosts(), t.cachedBase) {
		if slices.Contains(exporters, name) {
			partners = append(partners, name)
			continue
		}
		address := t.entries[name].host.SteerAddress
		told[name] = m.links.Alive(address)
		if told[name] && (due || !m.toldRelays[name]) {
			messages = append(messages, message{address, core.MemberUpdate{Author: t.self.Host, Complete: true, Digests: inside}})
		}
	}
	m.toldRelays = told
	if !changed && now.Sub(m.digestAt) < digestInterval {
		return messages
	}
	m.digestAt = now
	region := core.MemberDigest{
		Author: t.self.Host, Region: t.self.Region, Sequence: m.sequence, Start: m.start,
		Suspected: t.suspectedInRegion(),
	}
	return append(messages, m.exchange(partners, next, zone, region, foreign, now)...)
}

// tick looks at the links and sends what is due.
func (m *Members) tick() {
	now := m.timer.Now()
	m.mu.Lock()
	before, relaying := m.table.suspected, m.table.relaying
	changed := m.table.refresh(m.links, now)
	duty := relaying != m.table.relaying
	if duty {
		m.sentTo = m.table.version
	}
	m.dirty = m.dirty || changed || duty || m.table.relaying && m.sentTo != m.table.version
	after := m.table.suspected
	fresh := m.shown != m.table.applied
	m.shown = m.table.applied
	connect, disconnect := m.wantedLinks(now)
	messages := m.outgoing(now)
	m.mu.Unlock()
	for _, address := range connect {
		m.links.Connect(address)
	}
	for _, address := range disconnect {
		m.links.Disconnect(address)
	}
	if duty {
		event.MemberRelay.Write(m.log, zap.Bool("relay", !relaying))
	}
	if changed {
		m.logSuspicions(before, after)
	}
	if changed || fresh {
		m.publish()
	}
	for _, s := range messages {
		m.send(s)
	}
}

// send queues one message; a lost one is made up for by the next.
func (m *Members) send(s message) {
	payload, err := wire.Encode(s.update)
	if err != nil {
		return
	}
	_ = m.links.Send(s.address, core.TopicMember, payload)
}

// wantedLinks returns the addresses to connect and those that were connected here and are not needed any more.
func (m *Members) wantedLinks(now core.Instant) ([]string, []string) {
	t := m.table
	top := t.topology()
	names := t.watched(top)
	if t.relaying {
		names = slices.Concat(names, top.zones[t.self.Zone], top.relayPeers(t.self, t.hosts(), t.cachedBase), top.nextExporters(t.self, t.cachedBase))
	}
	wanted := map[string]bool{}
	var connect, disconnect []string
	for _, name := range names {
		address := t.entries[name].host.SteerAddress
		if name == t.self.Host || address == "" || wanted[address] {
			continue
		}
		wanted[address] = true
		if !m.connected[address] && (!t.dialledBy(name, top) || m.overdue(address, now)) {
			m.connected[address] = true
			connect = append(connect, address)
		}
	}
	for address := range m.connected {
		if !wanted[address] {
			delete(m.connected, address)
			disconnect = append(disconnect, address)
		}
	}
	maps.DeleteFunc(m.downSince, func(address string, _ core.Instant) bool { return !wanted[address] })
	return connect, disconnect
}

// overdue reports whether a link that the other host should dial has been down for longer than that may take.
func (m *Members) overdue(address string, now core.Instant) bool {
	if m.links.Alive(address) {
		delete(m.downSince, address)
		return false
	}
	since, ok := m.downSince[address]
	if !ok {
		m.downSince[address] = now
		return false
	}
	return now.Sub(since) >= linkGrace
}
