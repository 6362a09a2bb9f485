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
	// tickInterval is the time between two checks of the links; changes that arrive are passed on at once.
	tickInterval = 125 * time.Millisecond
	// updateTimeout is the time without an update after which a host reads the store; up to half of it is added at
	// random.
	updateTimeout = 10 * time.Second
	// dialDelay is how long another host has to dial before this host dials it, because that host may not have this
	// one's registration yet. It is shorter than suspicionGrace, so that a new relay does not suspect hosts that do not yet
	// treat it as a relay.
	dialDelay = time.Second
	// catchUpInterval is the time between two checks for gaps in the updates.
	catchUpInterval = time.Second
)

// message is an update to one address.
type message struct {
	address string
	update  core.MemberUpdate
}

// Run keeps the membership up to date until ctx is cancelled.
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

// Seed adopts all registrations from the steer process at address, to fill a gap or to start without the store.
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
	m.caughtUpAt = now
	m.table.apply(update.Changes, now)
	m.table.version = max(m.table.version, update.Version)
	m.mu.Unlock()
	wake(m.urgent)
	return nil
}

// catchUp fills gaps: it requests all registrations from a relay, or reads the store after updateTimeout without an
// update.
func (m *Members) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.timer.After(catchUpInterval):
		}
		relay, poll := m.catchUpSource(m.timer.Now())
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

// catchUpSource returns the address of a relay to request all registrations from if its updates left a gap, or else
// whether it is time to read the store.
func (m *Members) catchUpSource(now core.Instant) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.relaying {
		return "", false
	}
	gap := false
	for _, r := range m.table.updates {
		gap = gap || r.receivedAt.After(m.caughtUpAt)
	}
	if gap {
		for _, name := range m.table.topology().relays[m.table.self.Zone] {
			if address := m.table.registrations[name].host.SteerAddress; m.links.Alive(address) {
				return address, false
			}
		}
	}
	if now.Sub(m.caughtUpAt) < updateTimeout+m.pollJitter || now.Before(m.nextPollAt) {
		return "", false
	}
	m.pollJitter = rand.N(updateTimeout / 2)
	m.nextPollAt = now.Add(updateTimeout + m.pollJitter)
	return "", true
}

// hostMessages returns the updates for the hosts of this host's zone that are not relays. A host whose link has come up gets one at once,
// because it may have missed the last one.
func (m *Members) hostMessages(top topology, changed bool, now core.Instant) []message {
	t := m.table
	due := m.updateSchedule.due(changed, now)
	var addresses []string
	sent := make(map[string]bool, len(m.sentHosts))
	for _, name := range top.zones[t.self.Zone] {
		if slices.Contains(top.relays[t.self.Zone], name) {
			continue
		}
		address := t.registrations[name].host.SteerAddress
		sent[name] = m.links.Alive(address)
		if sent[name] && (due || !m.sentHosts[name]) {
			addresses = append(addresses, address)
		}
	}
	m.sentHosts = sent
	base := max(m.sentVersion, t.trimmed)
	m.sentVersion = t.version
	if len(addresses) == 0 {
		return nil
	}
	update := core.MemberUpdate{
		Author:    t.self.Host,
		Base:      base,
		Changes:   t.changesSince(base),
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
	changed := m.changedSinceSend
	m.changedSinceSend = false
	if !t.relaying {
		clear(m.sentHosts)
		clear(m.sentExporters)
		clear(m.sentRelays)
		m.lastList = nil
		return nil
	}
	top := t.topology()
	return append(m.relayMessages(top, changed, now), m.hostMessages(top, changed, now)...)
}

// relayMessages returns the digests for the other relays of the region and the exporters of the next regions. Exporters
// exchange all digests every interval, because a forwarded digest is valid only while its sequence grows. Other relays
// forward none and get a list when it changes.
func (m *Members) relayMessages(top topology, changed bool, now core.Instant) []message {
	t := m.table
	m.sequence++
	zone := core.MemberDigest{
		Author: t.self.Host, Region: t.self.Region, Sequence: m.sequence, Start: m.start, Zone: t.self.Zone,
		// Only what this host observes, not merged with the other relay's digest: otherwise each relay would wait for
		// the other to suspect a host first.
		Suspected: t.unresponsive,
	}
	digests := []core.MemberDigest{zone}
	nextExporters := top.nextExporters(t.self, t.cachedBase)
	var remoteDigests []core.MemberDigest
	var exporters []string
	if nextExporters != nil {
		remoteDigests = t.remoteDigests(now)
		digests = append(digests, remoteDigests...)
		exporters = top.exporters[t.self.Region]
	}
	due := m.listSchedule.due(!slices.EqualFunc(m.lastList, digests, sameContent), now)
	m.lastList = digests
	sent := map[string]bool{}
	var peerExporters []string
	var messages []message
	for _, name := range top.relayPeers(t.self, t.hosts(), t.cachedBase) {
		if slices.Contains(exporters, name) {
			peerExporters = append(peerExporters, name)
			continue
		}
		address := t.registrations[name].host.SteerAddress
		sent[name] = m.links.Alive(address)
		if sent[name] && (due || !m.sentRelays[name]) {
			messages = append(messages, message{address, core.MemberUpdate{Author: t.self.Host, Complete: true, Digests: digests}})
		}
	}
	m.sentRelays = sent
	if !changed && now.Sub(m.digestSentAt) < digestInterval {
		return messages
	}
	m.digestSentAt = now
	region := core.MemberDigest{
		Author: t.self.Host, Region: t.self.Region, Sequence: m.sequence, Start: m.start,
		Suspected: t.suspectedInRegion(),
	}
	return append(messages, m.exporterMessages(peerExporters, nextExporters, zone, region, remoteDigests, now)...)
}

// tick checks the links and sends the messages that are due.
func (m *Members) tick() {
	now := m.timer.Now()
	m.mu.Lock()
	before, relaying := m.table.suspected, m.table.relaying
	changed := m.table.refresh(m.links, now)
	roleChanged := relaying != m.table.relaying
	if roleChanged {
		m.sentVersion = m.table.version
	}
	m.changedSinceSend = m.changedSinceSend || changed || roleChanged || m.table.relaying && m.sentVersion != m.table.version
	after := m.table.suspected
	registrationsChanged := m.publishedApplied != m.table.applied
	m.publishedApplied = m.table.applied
	connect, disconnect := m.wantedLinks(now)
	messages := m.outgoing(now)
	m.mu.Unlock()
	for _, address := range connect {
		m.links.Connect(address)
	}
	for _, address := range disconnect {
		m.links.Disconnect(address)
	}
	if roleChanged {
		event.MemberRelay.Write(m.log, zap.Bool("relay", !relaying))
	}
	if changed {
		m.logSuspicions(before, after)
	}
	if changed || registrationsChanged {
		m.publish()
	}
	for _, s := range messages {
		m.send(s)
	}
}

// send queues one message; if it is lost, the next one to the same address makes up for it.
func (m *Members) send(s message) {
	payload, err := wire.Encode(s.update)
	if err != nil {
		return
	}
	_ = m.links.Send(s.address, core.TopicMember, payload)
}

// wantedLinks returns the addresses to connect and those that were connected here but are no longer needed.
func (m *Members) wantedLinks(now core.Instant) ([]string, []string) {
	t := m.table
	top := t.topology()
	names := t.watchedRelays(top)
	if t.relaying {
		names = slices.Concat(names, top.zones[t.self.Zone], top.relayPeers(t.self, t.hosts(), t.cachedBase), top.nextExporters(t.self, t.cachedBase))
	}
	wanted := map[string]bool{}
	var connect, disconnect []string
	for _, name := range names {
		address := t.registrations[name].host.SteerAddress
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

// overdue reports whether a link that the other host should dial has been down for at least dialDelay.
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
	return now.Sub(since) >= dialDelay
}
