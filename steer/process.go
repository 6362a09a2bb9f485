package main

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/admin"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/fanout"
	"ebonyrouter.dev/core/links"
	"ebonyrouter.dev/core/memory"
	"ebonyrouter.dev/core/meter"
	"ebonyrouter.dev/core/pubsub"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/core/wire"
	"ebonyrouter.dev/steer/member"
	"ebonyrouter.dev/steer/owner"
	"ebonyrouter.dev/steer/report"
	"ebonyrouter.dev/steer/watch"
)

const (
	// hostsInterval is the time between two checks whether the list of hosts must be sent to the entry process.
	hostsInterval = 500 * time.Millisecond
	// entryTimeout is the time without a status after which the entry process is assumed to be dead.
	entryTimeout = core.EntryStaleAfter
	// entryDrainLimit bounds how long a stopping steer process keeps serving a draining entry process.
	entryDrainLimit = time.Minute
)

// process is a running steer process.
type process struct {
	admin               *admin.Server
	backup              backupLinks
	feed                hostsFeed
	keeper              *fanout.Keeper
	links               *links.Manager
	log                 *zap.Logger
	members             *member.Members
	memory              *memory.Guard
	messages            *pubsub.Messenger
	meter               *meter.Meter
	options             options
	owner               *owner.Documents
	reporter            *report.Reporter
	settings            *config.Holder
	store               core.Store
	timer               core.Timer
	watcher             *watch.Watcher
	writtenRegistration atomic.Pointer[core.Host]
}

func newProcess(o options, log *zap.Logger) (*process, error) {
	clock, err := timer.NewSystem()
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &process{
		log: log, meter: meter.New(), options: o, settings: config.NewHolder(), timer: clock,
		store: store.NewClient(*o.Store, store.WithSource(o.Source())),
	}
	p.memory = memory.NewGuard(*o.MemoryMB, *o.MaxFDs, log, clock)
	p.links, err = links.New(clock, log, links.WithAdvertise(*o.Link), links.WithGuard(p.memory),
		links.WithListen(o.Listen(*o.Link)), links.WithSource(o.Source()), links.WithToken(*o.Token))
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.links.Export(p.meter)
	p.messages, err = pubsub.NewMessenger(p.links)
	if err != nil {
		return nil, errors.Trace(err)
	}
	shared := links.NewShared(p.links)
	p.backup = backupLinks{entry: *o.entry, links: shared.User(), peers: *o.Peers}
	p.members = member.New(p.self(), p.store, clock, shared.User(), member.WithLogger(log), member.WithOnWritten(p.recordWritten))
	p.initDistribution()
	p.owner = owner.New(*o.Host, *o.Region, p.store, clock, p.settings, p.members.Registered(),
		owner.WithOnAdvice(p.sendAdvice), owner.WithLiveHosts(p.members), owner.WithLogger(log), owner.WithOnChange(p.offerOwnership))
	p.reporter = report.New(report.Config{
		Hosts: p.members, Links: shared.User(), Self: *o.Host, Settings: p.settings,
		StoreError: p.watcher.LastError, Timer: clock, Zone: *o.Zone,
	})
	p.registerHandlers()
	p.exportGauges()
	p.admin, err = admin.New(log, o.Listen(*o.Admin), p.routes,
		admin.WithGuard(p.memory), admin.WithMetrics(p.meter.Handler()), admin.WithReady(p.ready), admin.WithToken(*o.Token))
	p.memory.Export(p.meter)
	return p, errors.Trace(err)
}

// initDistribution creates the keeper, which distributes settings and ownership documents, and the watcher, which reads them
// from the store.
func (p *process) initDistribution() {
	p.keeper = fanout.New(p.links, p.messages, p.timer, p.log,
		fanout.WithSubscribers(p.subscribers),
		fanout.WithApply(core.DocumentSettings, p.adoptSettings),
		fanout.WithApply(core.KeyOwnershipPrefix, p.adoptOwnership),
		fanout.WithSources(p.sources),
	)
	p.watcher = watch.New(watch.Config{
		SyncedWithRelay: p.synced,
		Load:            config.Load, Log: p.log, IsRelay: p.members.IsRelay, Sink: p.keeper, Source: p.keeper, Store: p.store, Timer: p.timer,
	})
}

func (p *process) adoptOwnership(d core.Document) error {
	var ownership core.Ownership
	if err := json.Unmarshal(d.Content, &ownership); err != nil {
		return errors.Trace(err)
	}
	p.owner.Observe(ownership)
	return nil
}

func (p *process) adoptSettings(d core.Document) error {
	var update core.SettingsUpdate
	if err := wire.Decode(d.Content, &update); err != nil {
		return errors.Trace(err)
	}
	snapshot, err := config.Compile(update)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.settings.Set(snapshot))
}

// subscribers returns the addresses to notify of a new document: the local entry process and, if this host is a relay, the
// other hosts of its availability zone.
func (p *process) subscribers() []string {
	addresses := []string{*p.options.entry}
	if !p.members.IsRelay() {
		return addresses
	}
	for _, h := range p.members.Registered().Hosts() {
		if h.Zone == *p.options.Zone && h.Host != *p.options.Host {
			addresses = append(addresses, h.SteerAddress)
		}
	}
	return addresses
}

// synced reports whether the documents were recently compared with those of a relay of the availability zone.
func (p *process) synced() bool {
	peer, syncedAt := p.keeper.LastSync()
	return slices.Contains(p.members.RelayAddresses(), peer) && p.timer.Now().Sub(syncedAt) < 2*watch.PollInterval
}

// registerHandlers registers the handlers of messages from the local entry process and from peers.
func (p *process) registerHandlers() {
	p.messages.HandleMessage(core.TopicEntryStatus, p.handleEntryStatus)
	p.links.HandleMessage(core.TopicLeaseWithdrawn, p.handleWithdrawn)
	p.links.HandleRequest(core.TopicLeaseChange, p.owner.HandleChange)
	p.links.HandleRequest(core.TopicLeaseConfirm, p.owner.HandleConfirm)
	p.links.HandleRequest(core.TopicMemberRevoke, p.owner.HandleRevoke)
}

// handleEntryStatus stores the status of the local entry process and adopts its registration.
func (p *process) handleEntryStatus(peer string, payload []byte) {
	if peer != *p.options.entry {
		return
	}
	var status core.EntryStatus
	if err := wire.Decode(payload, &status); err != nil {
		event.DocumentInvalid.Write(p.log, zap.String("peer", peer), zap.Error(err))
		return
	}
	p.reporter.SetEntry(status)
	p.members.Register(status.Registration)
	p.updateLocalIncarnation(status.Registration)
}

// handleWithdrawn records the withdrawal of a grantor from the local entry process, which forwards the grantor's message.
func (p *process) handleWithdrawn(peer string, payload []byte) {
	if peer == *p.options.entry {
		p.owner.HandleWithdrawn(peer, payload)
	}
}

// recordWritten records the registration that is in the store, so that the entry process may become a member of the
// ownership document.
func (p *process) recordWritten(written core.Host) {
	p.writtenRegistration.Store(&written)
	p.updateLocalIncarnation(written)
}

// offerOwnership distributes an ownership document that this steer process wrote or read.
func (p *process) offerOwnership(ownership core.Ownership, _ bool) {
	content, err := json.Marshal(ownership)
	if err != nil {
		event.DocumentInvalid.Write(p.log, zap.Error(err))
		return
	}
	name := core.KeyOwnershipPrefix + ownership.Region
	// Offer holds a mutex while it calls adoptOwnership, and the owner calls this function for a new document. Without the
	// goroutine the nested Offer would deadlock; it ends at once, because the keeper already has the document.
	go func() { _, _ = p.keeper.Offer(core.Document{Content: content, Name: name, Version: ownership.Epoch}) }()
}

func (p *process) ready() error {
	return errors.Trace(p.settings.Current().CheckZone(*p.options.Region, *p.options.Zone))
}

// self returns the registration of this host before its entry process has reported.
func (p *process) self() core.Host {
	return core.Host{
		Host:         *p.options.Host,
		LinkAddress:  *p.options.entry,
		Region:       *p.options.Region,
		State:        core.HostStarting,
		SteerAddress: *p.options.Link,
		Zone:         *p.options.Zone,
	}
}

// sendAdvice sends lease advice from the ownership documents to the local entry process.
func (p *process) sendAdvice(advice core.LeaseAdvice) {
	payload, err := wire.Encode(advice)
	if err != nil {
		return
	}
	_ = p.messages.Send(*p.options.entry, core.TopicLeaseAdvice, payload)
}

// sendHosts sends the list of hosts, the suspected hosts and the state of the store to the entry process when they are
// due.
func (p *process) sendHosts() {
	update := core.HostsUpdate{Hosts: p.members.All(), StoreDown: p.owner.StoreDown(), Suspected: p.members.Suspected()}
	status, _, _ := p.reporter.Entry()
	if !p.feed.due(update, status.Registration.Incarnation, p.links.Alive(*p.options.entry), p.timer.Now()) {
		return
	}
	payload, err := wire.Encode(update)
	if err != nil {
		return
	}
	_ = p.messages.Send(*p.options.entry, core.TopicHosts, payload)
}

// serve runs all tasks until a signal arrives, or until the messenger or the administration server fails.
func (p *process) serve(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failure := make(chan error, 2)
	var group sync.WaitGroup
	group.Go(func() { failure <- p.messages.Run(ctx) })
	group.Go(func() { failure <- p.admin.Run(ctx) })
	group.Go(func() { p.keeper.Run(ctx) })
	group.Go(func() { p.memory.Run(ctx) })
	group.Go(func() { p.members.Run(ctx) })
	group.Go(func() { p.owner.Run(ctx) })
	group.Go(func() { p.watcher.Run(ctx) })
	group.Go(func() { p.hostsLoop(ctx) })
	event.ProcessStarted.Write(p.log)
	var err error
	select {
	case err = <-failure:
	case <-signals:
		event.ProcessStopping.Write(p.log)
		p.awaitEntry(signals)
	}
	cancel()
	group.Wait()
	if closeErr := p.links.Close(); err == nil {
		err = closeErr
	}
	event.ProcessStopped.Write(p.log)
	return errors.Trace(err)
}

// awaitEntry keeps the steer process running while the entry process of the host drains, because the entry process
// needs it to release its objects. A second signal ends the wait.
func (p *process) awaitEntry(signals <-chan os.Signal) {
	// Both processes may receive the signal at the same time. The wait is longer than the interval of the statuses, so that
	// the last one shows whether the entry process drains.
	deadline := p.timer.After(entryDrainLimit)
	wait := p.timer.After(entryTimeout / 2)
	for {
		select {
		case <-signals:
			return
		case <-deadline:
			return
		case <-wait:
		}
		status, age, ok := p.reporter.Entry()
		if !ok || age > entryTimeout || status.Registration.State != core.HostDraining {
			return
		}
		wait = p.timer.After(hostsInterval)
	}
}

// hostsLoop sends the list of hosts to the entry process, detects when that process is dead and maintains the backup
// links.
func (p *process) hostsLoop(ctx context.Context) {
	ticks := p.timer.Subscribe(hostsInterval)
	defer ticks.Stop()
	for {
		// A relay keeps its links to the configured peers, because the only relay of a zone has no other relay to
		// compare documents with.
		p.backup.update(p.synced() && !p.members.IsRelay(), p.members.RelayAddresses(), p.timer.Now())
		p.sendHosts()
		if _, age, ok := p.reporter.Entry(); ok && age > entryTimeout {
			p.owner.SetLocalIncarnation("")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// updateLocalIncarnation sets the incarnation with which the local entry process should be a member of the ownership
// document. It is empty unless the entry process is ready and its registration is in the store.
func (p *process) updateLocalIncarnation(registration core.Host) {
	written := p.writtenRegistration.Load()
	if registration.State != core.HostReady || written == nil || written.Incarnation != registration.Incarnation {
		p.owner.SetLocalIncarnation("")
		return
	}
	p.owner.SetLocalIncarnation(registration.Incarnation)
}

// sources returns the steer processes to exchange document versions with: live relays of the availability zone first,
// then the configured peers.
func (p *process) sources() []string {
	var addresses []string
	for _, a := range p.members.RelayAddresses() {
		if p.links.Alive(a) {
			addresses = append(addresses, a)
		}
	}
	return append(addresses, *p.options.Peers...)
}
