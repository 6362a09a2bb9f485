package agent

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/fanout"
	"ebonyrouter.dev/core/wire"
)

const (
	statusInterval = 500 * time.Millisecond
	peersInterval  = 500 * time.Millisecond
	syncInterval   = time.Second
	// linkGrace is how long the link to a new peer may take to come up before the peer counts as unresponsive.
	linkGrace = 2 * time.Second
)

// Agent exchanges documents, status and load reports between an entry process, its steer and its peers.
type Agent struct {
	config Config
	hosts  *Hosts
	keeper *fanout.Keeper
	// linked holds the addresses to which the Agent keeps links; only connectPeers uses it.
	linked []string
	mu     sync.Mutex
	// objects holds the sorted names of the objects in version objectsVersion of the ownership document, which is its
	// epoch.
	objects        []string
	objectsVersion int64
	owned          atomic.Int64
	// loadReceivers holds the link addresses that receive load reports.
	loadReceivers []string
	// firstSeen holds the time at which each neighbour was first listed, by host name and incarnation.
	firstSeen map[string]core.Instant
	// sequence numbers the load reports.
	sequence int64
}

// New returns an Agent and registers its handlers on the links. The Agent updates hosts from messages of the steer.
func New(config Config, hosts *Hosts) *Agent {
	a := &Agent{config: config, hosts: hosts, firstSeen: map[string]core.Instant{}}
	a.keeper = fanout.New(config.Links, config.Messages, config.Timer, config.Log,
		fanout.WithApply(core.DocumentSettings, a.adoptSettings),
		fanout.WithApply(core.KeyOwnershipPrefix, a.adoptOwnership),
		fanout.WithSources(a.sources),
		fanout.WithSyncInterval(syncInterval),
	)
	config.Messages.HandleMessage(core.TopicHosts, a.handleHosts)
	config.Links.HandleMessage(core.TopicLoad, a.handleLoad)
	return a
}

// Run connects to the steers and runs all tasks until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.config.Links.Connect(a.config.SteerAddress)
	for _, p := range a.config.PeerSteers {
		a.config.Links.Connect(p)
	}
	var group sync.WaitGroup
	group.Go(func() { a.keeper.Run(ctx) })
	group.Go(func() { a.every(ctx, statusInterval, a.sendStatus) })
	group.Go(func() { a.every(ctx, loadInterval, newLoadSender(a).tick) })
	group.Go(func() { a.every(ctx, peersInterval, a.connectPeers) })
	group.Wait()
}

// OwnedCount returns the number of owned objects in the last status that was sent.
func (a *Agent) OwnedCount() int {
	return int(a.owned.Load())
}

// SendStatus sends a status to the steer at once, for example after a change of state.
func (a *Agent) SendStatus() {
	a.sendStatus()
}

// adoptOwnership applies an ownership document. It returns an error before the first settings revision is applied.
func (a *Agent) adoptOwnership(d core.Document) error {
	if a.config.Settings.Current() == nil {
		// How long a new owner waits before it uses an object depends on the deadlines of the services.
		return errors.NotYetAvailablef("settings")
	}
	var ownership core.Ownership
	if err := json.Unmarshal(d.Content, &ownership); err != nil {
		return errors.Trace(err)
	}
	a.config.Adopter.AdoptOwnership(ownership)
	return nil
}

// adoptSettings applies a settings document.
func (a *Agent) adoptSettings(d core.Document) error {
	var update core.SettingsUpdate
	if err := wire.Decode(d.Content, &update); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(a.config.Adopter.AdoptSettings(update))
}

// connectPeers keeps links to the neighbours, to the gateways of other regions and to the processes that confirm leases
// together with this one. It also updates the unresponsive neighbours and the receivers of load reports.
func (a *Agent) connectPeers() {
	self := a.config.Registration()
	neighbours := findNeighbours(self, a.hosts.Hosts())
	unresponsive := a.unresponsive(neighbours)
	a.hosts.setUnresponsive(unresponsive)
	neighbourAddresses := addresses(neighbours)
	gateways := a.gateways(self.Region)
	a.mu.Lock()
	a.loadReceivers = append(slices.Clone(neighbourAddresses), gateways...)
	a.mu.Unlock()
	wanted := append(a.addressesToDial(self, neighbours, unresponsive), gateways...)
	for _, address := range a.config.LeaseAddresses() {
		if !slices.Contains(neighbourAddresses, address) {
			wanted = append(wanted, address)
		}
	}
	old := a.linked
	a.linked = wanted
	for _, address := range wanted {
		if !slices.Contains(old, address) {
			a.config.Links.Connect(address)
		}
	}
	for _, address := range old {
		if !slices.Contains(wanted, address) {
			a.config.Links.Disconnect(address)
		}
	}
}

// addressesToDial returns the addresses of the neighbours that this process dials: those with a higher name, so that each
// pair has one link, and unresponsive ones, because they may not have this host in their list yet. Links that this process
// has already dialled are kept.
func (a *Agent) addressesToDial(self core.Host, neighbours []core.Host, unresponsive []string) []string {
	var dialled []string
	for _, h := range neighbours {
		if self.Host < h.Host || slices.Contains(a.linked, h.LinkAddress) || slices.Contains(unresponsive, h.Host) {
			dialled = append(dialled, h.LinkAddress)
		}
	}
	return dialled
}

// gateways returns the link addresses of the hosts in other regions that own the cap of a shift to region. They need the
// load reports of this process to choose among the owners in its region.
func (a *Agent) gateways(region string) []string {
	snapshot := a.config.Settings.Current()
	if snapshot == nil {
		return nil
	}
	var addresses []string
	for _, s := range snapshot.Settings.Shifts {
		if s.To != region {
			continue
		}
		owner, ok := a.config.Lease.Owner(s.From, core.ShiftObject(s.Service, s.From, s.To))
		if ok && !slices.Contains(addresses, owner.LinkAddress) {
			addresses = append(addresses, owner.LinkAddress)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// unresponsive returns the names of the neighbours that were first listed more than linkGrace ago and whose links are
// down.
func (a *Agent) unresponsive(neighbours []core.Host) []string {
	now := a.config.Timer.Now()
	var names []string
	firstSeen := map[string]core.Instant{}
	for _, h := range neighbours {
		key := h.Host + h.Incarnation
		first, known := a.firstSeen[key]
		if !known {
			first = now
		}
		firstSeen[key] = first
		if now.Sub(first) > linkGrace && !a.config.Links.Alive(h.LinkAddress) {
			names = append(names, h.Host)
		}
	}
	a.firstSeen = firstSeen
	return names
}

// every runs a task at once and then once per period until ctx ends.
func (a *Agent) every(ctx context.Context, period time.Duration, task func()) {
	ticks := a.config.Timer.Subscribe(period)
	defer ticks.Stop()
	for {
		task()
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// handleHosts stores a list of hosts; messages from processes other than the steer of this host are ignored.
func (a *Agent) handleHosts(peer string, payload []byte) {
	if peer != a.config.SteerAddress {
		return
	}
	var update core.HostsUpdate
	if err := wire.Decode(payload, &update); err != nil {
		event.DocumentInvalid.Write(a.config.Log, zap.String("peer", peer), zap.Error(err))
		return
	}
	a.hosts.Set(update)
}

// handleLoad passes on the load report of a peer.
func (a *Agent) handleLoad(peer string, payload []byte) {
	var report core.LoadReport
	if err := wire.Decode(payload, &report); err != nil {
		event.DocumentInvalid.Write(a.config.Log, zap.String("peer", peer), zap.Error(err))
		return
	}
	a.config.HandleLoad(report)
}

// sendLoad sends a load report to all receivers and returns the number of bytes that it takes on the links.
func (a *Agent) sendLoad(load map[string]core.ServiceLoad) int {
	self := a.config.Registration()
	a.mu.Lock()
	a.sequence++
	report := core.LoadReport{Host: self.Host, Region: self.Region, Sequence: a.sequence, Services: load, Zone: self.Zone}
	receivers := a.loadReceivers
	a.mu.Unlock()
	payload, err := wire.Encode(report)
	if err != nil {
		return 0
	}
	for _, p := range receivers {
		_ = a.config.Links.Send(p, core.TopicLoad, payload)
	}
	return len(receivers) * (len(payload) + loadFrameBytes)
}

// sendStatus sends the settings revision, owned objects and in-flight requests to the steer.
func (a *Agent) sendStatus() {
	status := core.EntryStatus{
		InFlight:     a.config.InFlight(),
		InUse:        a.config.InUse(),
		Registration: a.config.Registration(),
	}
	status.Revision = a.config.Settings.Current().Revision()
	a.addOwned(&status)
	payload, err := wire.Encode(status)
	if err != nil {
		return
	}
	_ = a.config.Messages.Send(a.config.SteerAddress, core.TopicEntryStatus, payload)
}

// addOwned adds the objects that this process owns, out of those in the newest ownership document of its region.
func (a *Agent) addOwned(status *core.EntryStatus) {
	d, ok := a.keeper.Document(core.KeyOwnershipPrefix + status.Registration.Region)
	if !ok {
		return
	}
	status.Epoch = d.Version
	now := a.config.Timer.Now()
	for _, object := range a.objectsOf(d) {
		if until, owned := a.config.Lease.Owns(object); owned {
			status.Owned = append(status.Owned, object)
			status.LeaseMs = until.Sub(now).Milliseconds()
		}
	}
	a.owned.Store(int64(len(status.Owned)))
}

// objectsOf returns the sorted names of the objects in an ownership document. It decodes each document only once, because
// decoding takes 2 ms for 138 hosts and the status is sent every 500 ms.
func (a *Agent) objectsOf(d core.Document) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.objectsVersion == d.Version {
		return a.objects
	}
	var ownership core.Ownership
	if json.Unmarshal(d.Content, &ownership) != nil {
		return nil
	}
	a.objects = slices.Sorted(maps.Keys(ownership.Objects))
	a.objectsVersion = d.Version
	return a.objects
}

// sources returns the link addresses from which documents are requested: the steer of this host, or the other steers
// while its link is down.
func (a *Agent) sources() []string {
	if a.config.Links.Alive(a.config.SteerAddress) {
		return []string{a.config.SteerAddress}
	}
	return a.config.PeerSteers
}

// findNeighbours returns the other hosts of the region with which a host exchanges load reports.
func findNeighbours(self core.Host, hosts []core.Host) []core.Host {
	var region []core.Host
	for _, h := range hosts {
		if h.Region == self.Region && h.Host != self.Host && h.LinkAddress != "" {
			region = append(region, h)
		}
	}
	slices.SortFunc(region, func(a, b core.Host) int { return strings.Compare(a.Host, b.Host) })
	return nearest(self.Host, region)
}

// maxNeighbours bounds the links and load reports of one host; 16 covers every region of the current deployments.
const maxNeighbours = 16

// nearest returns up to maxNeighbours hosts, half of them before and half of them after name in the ring of sorted names.
// The relation is symmetric: if one host is a neighbour of another, the other is a neighbour of it.
func nearest(name string, sorted []core.Host) []core.Host {
	if len(sorted) <= maxNeighbours {
		return sorted
	}
	start, _ := slices.BinarySearchFunc(sorted, name, func(h core.Host, n string) int { return strings.Compare(h.Host, n) })
	ring := append(slices.Clone(sorted[start:]), sorted[:start]...)
	const half = maxNeighbours / 2
	return append(ring[:half:half], ring[len(ring)-half:]...)
}

// addresses returns the link addresses of hosts.
func addresses(hosts []core.Host) []string {
	list := make([]string, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h.LinkAddress)
	}
	return list
}
