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
	// hostsInterval is the time between two looks for changes of the list of hosts of the entry process.
	hostsInterval = 500 * time.Millisecond
	// entryTimeout is the silence after which the entry process is taken to be gone.
	entryTimeout = core.EntryStale
	// entryDrainLimit bounds the time for which a stopping steer serves a draining entry process.
	entryDrainLimit = time.Minute
)

// process is a running steer process.
type process struct {
	admin    *admin.Server
	backup   backupLinks
	feed     hostsFeed
	keeper   *fanout.Keeper
	links    *links.Manager
	log      *zap.Logger
	members  *member.Members
	messages *pubsub.Messenger
	meter    *meter.Meter
	options  options
	owner    *owner.Documents
	reporter *report.Reporter
	settings *config.Holder
	store    core.Store
	timer    core.Timer
	watcher  *watch.Watcher
	written  atomic.Pointer[core.Host]
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
	p.links, err = links.New(clock, log, links.WithAdvertise(*o.Link),
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
	p.members = member.New(p.self(), p.store, clock, shared.User(), member.WithLogger(log), member.WithOnWritten(p.noteWritten))
	p.newDocuments()
	p.owner = owner.New(*o.Host, *o.Region, p.store, clock, p.settings, p.members.Registered(),
		owner.WithOnAdvice(p.sendAdvice), owner.WithLiveHosts(p.members), owner.WithLogger(log), owner.WithOnChange(p.offerOwnership))
	p.reporter = report.New(report.Config{
		Hosts: p.members, Links: shared.User(), Self: *o.Host, Settings: p.settings,
		StoreError: p.watcher.LastError, Timer: clock, Zone: *o.Zone,
	})
	p.handle()
	p.exportGauges()
	p.admin, err = admin.New(log, o.Listen(*o.Admin), p.routes,
		admin.WithMetrics(p.meter.Handler()), admin.WithReady(p.ready), admin.WithToken(*o.Token))
	return p, errors.Trace(err)
}

// newDocuments creates the parts that spread settings and ownership.
func (p *process) newDocuments() {
	p.keeper = fanout.New(p.links, p.messages, p.timer, p.log,
		fanout.WithSubscribers(p.audience),
		fanout.WithApply(core.DocumentSettings, p.adoptSettings),
		fanout.WithApply(core.KeyOwnershipPrefix, p.adoptOwnership),
		fanout.WithSources(p.sources),
	)
	p.watcher = watch.New(watch.Config{
		Covered: p.covered,
		Load:    config.Load, Log: p.log, Relay: p.members.Relay, Sink: p.keeper, Source: p.keeper, Store: p.store, Timer: p.timer,
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

// audience lists the processes to notify of a new document: the own entry, and the other hosts of the zone if this
// host is a relay.
func (p *process) audience() []string {
	addresses := []string{*p.options.entry}
	if !p.members.Relay() {
		return addresses
	}
	for _, h := range p.members.Registered().Hosts() {
		if h.Zone == *p.options.Zone && h.Host != *p.options.Host {
			addresses = append(addresses, h.SteerAddress)
		}
	}
	return addresses
}

// covered reports whether the documents were compared with those of a relay of the zone lately.
func (p *process) covered() bool {
	peer, at := p.keeper.LastSync()
	return slices.Contains(p.members.RelayAddresses(), peer) && p.timer.Now().Sub(at) < 2*watch.PollInterval
}

// handle registers the handlers of messages from the entry process and from peers.
func (p *process) handle() {
	p.messages.HandleMessage(core.TopicEntryStatus, p.handleEntryStatus)
	p.links.HandleMessage(core.TopicLeaseWithdrawn, p.handleWithdrawn)
	p.links.HandleRequest(core.TopicLeaseChange, p.owner.HandleChange)
	p.links.HandleRequest(core.TopicLeaseConfirm, p.owner.HandleConfirm)
	p.links.HandleRequest(core.TopicMemberRevoke, p.owner.HandleRevoke)
}

// handleEntryStatus takes over the registration of the own entry process.
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
	p.setLocal(status.Registration)
}

// handleWithdrawn passes on the withdrawal of a grantor that the own entry process has learned of.
func (p *process) handleWithdrawn(peer string, payload []byte) {
	if peer == *p.options.entry {
		p.owner.HandleWithdrawn(peer, payload)
	}
}

// noteWritten lets the entry process take part once its registration is in the store.
func (p *process) noteWritten(written core.Host) {
	p.written.Store(&written)
	p.setLocal(written)
}

// offerOwnership spreads a document that this steer wrote or read.
func (p *process) offerOwnership(ownership core.Ownership, _ bool) {
	content, err := json.Marshal(ownership)
	if err != nil {
		event.DocumentInvalid.Write(p.log, zap.Error(err))
		return
	}
	name := core.KeyOwnershipPrefix + ownership.Region
	// The keeper calls back into the owner, which ignores a document that it knows.
	go func() { _, _ = p.keeper.Offer(core.Document{Content: content, Name: name, Version: ownership.Epoch}) }()
}

func (p *process) ready() error {
	return errors.Trace(p.settings.Current().CheckPlace(*p.options.Region, *p.options.Zone))
}

// self returns the registration of a host whose entry process has not reported yet.
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

// sendAdvice passes advice of the ownership document to the entry process.
func (p *process) sendAdvice(advice core.LeaseAdvice) {
	payload, err := wire.Encode(advice)
	if err != nil {
		return
	}
	_ = p.messages.Send(*p.options.entry, core.TopicLeaseAdvice, payload)
}

// sendHosts sends everything known about the hosts to the entry process when it is due.
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

// serve runs all tasks until a signal arrives or the administration server fails.
func (p *process) serve(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failure := make(chan error, 2)
	var group sync.WaitGroup
	group.Go(func() { failure <- p.messages.Run(ctx) })
	group.Go(func() { failure <- p.admin.Run(ctx) })
	group.Go(func() { p.keeper.Run(ctx) })
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

// awaitEntry keeps the steer working while the entry process of the host drains, because the entry process needs it to
// release its objects. A second signal ends the wait.
func (p *process) awaitEntry(signals <-chan os.Signal) {
	// Both processes may get the signal at once; the next status shows the state after it.
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

// hostsLoop keeps the entry process informed, notices when it is gone and looks after the backup links.
func (p *process) hostsLoop(ctx context.Context) {
	ticks := p.timer.Subscribe(hostsInterval)
	defer ticks.Stop()
	for {
		// A relay has no relay to compare with for long when it is the only one of its zone; it keeps its peers.
		p.backup.look(p.covered() && !p.members.Relay(), p.members.RelayAddresses(), p.timer.Now())
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

// setLocal tells the ownership document which incarnation should be a member: a ready one whose registration is written.
func (p *process) setLocal(reported core.Host) {
	written := p.written.Load()
	if reported.State != core.HostReady || written == nil || written.Incarnation != reported.Incarnation {
		p.owner.SetLocalIncarnation("")
		return
	}
	p.owner.SetLocalIncarnation(reported.Incarnation)
}

// sources lists the steers to exchange versions with: relays of the zone first, then the configured peers.
func (p *process) sources() []string {
	var addresses []string
	for _, a := range p.members.RelayAddresses() {
		if p.links.Alive(a) {
			addresses = append(addresses, a)
		}
	}
	return append(addresses, *p.options.Peers...)
}
