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
	// linkGrace is the time that a link to a new peer has to come up before the peer counts as silent.
	linkGrace = 2 * time.Second
)

// Agent keeps an entry process informed and reports about it.
type Agent struct {
	config Config
	hosts  *Hosts
	keeper *fanout.Keeper
	linked []string
	mu     sync.Mutex
	// objects are the names of the objects in version objectsAt of the ownership document.
	objects   []string
	objectsAt int64
	owned     atomic.Int64
	peers     []string
	seen      map[string]core.Instant
	sequence  int64
}

// New returns an Agent and registers its handlers on the links; hosts is filled from the steer's messages.
func New(config Config, hosts *Hosts) *Agent {
	a := &Agent{config: config, hosts: hosts, seen: map[string]core.Instant{}}
	a.keeper = fanout.New(config.Links, config.Messages, config.Timer, config.Log,
		fanout.WithCheck(core.DocumentSettings, a.adoptSettings),
		fanout.WithCheck(core.KeyOwnershipPrefix, a.adoptOwnership),
		fanout.WithSources(a.sources),
		fanout.WithSyncInterval(syncInterval),
	)
	config.Messages.HandleMessage(core.TopicHosts, a.handleHosts)
	config.Links.HandleMessage(core.TopicLoad, a.handleLoad)
	return a
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.config.Links.Connect(a.config.Steer)
	for _, p := range a.config.Peers {
		a.config.Links.Connect(p)
	}
	var group sync.WaitGroup
	group.Go(func() { a.keeper.Run(ctx) })
	group.Go(func() { a.every(ctx, statusInterval, a.sendStatus) })
	group.Go(func() { a.every(ctx, loadInterval, newLoadSender(a).tick) })
	group.Go(func() { a.every(ctx, peersInterval, a.connectPeers) })
	group.Wait()
}

// Owned returns the number of objects that the last status named as usable by this process.
func (a *Agent) Owned() int {
	return int(a.owned.Load())
}

// SendStatus reports to the steer at once, for example after a change of state.
func (a *Agent) SendStatus() {
	a.sendStatus()
}

func (a *Agent) adoptOwnership(d core.Document) error {
	if a.config.Settings.Current() == nil {
		// The wait before a takeover depends on the deadlines of the services.
		return errors.NotYetAvailablef("settings")
	}
	var ownership core.Ownership
	if err := json.Unmarshal(d.Content, &ownership); err != nil {
		return errors.Trace(err)
	}
	a.config.Adopt.AdoptOwnership(ownership)
	return nil
}

func (a *Agent) adoptSettings(d core.Document) error {
	var update core.SettingsUpdate
	if err := wire.Decode(d.Content, &update); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(a.config.Adopt.AdoptSettings(update))
}

// connectPeers keeps links to the neighbours, to the gateways of other regions and to the processes that confirm leases
// together with this one, and notes which neighbours are silent.
func (a *Agent) connectPeers() {
	self := a.config.Registration()
	near := neighbours(self, a.hosts.Hosts())
	silent := a.silent(near)
	a.hosts.setSilent(silent)
	peers := addresses(near)
	gateways := a.gateways(self.Region)
	a.mu.Lock()
	a.peers = append(slices.Clone(peers), gateways...)
	a.mu.Unlock()
	wanted := append(a.dialled(self, near, silent), gateways...)
	for _, address := range a.config.LeaseLinks() {
		if !slices.Contains(peers, address) {
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

// dialled returns the addresses of the neighbours that this process dials: those with a higher name, so that each pair
// has one link, and those that stayed silent, because they may not know this host yet.
func (a *Agent) dialled(self core.Host, near []core.Host, silent []string) []string {
	var dialled []string
	for _, h := range near {
		if self.Host < h.Host || slices.Contains(a.linked, h.LinkAddress) || slices.Contains(silent, h.Host) {
			dialled = append(dialled, h.LinkAddress)
		}
	}
	return dialled
}

// gateways returns the link addresses of the hosts of other regions that own the cap of a shift to this region; they
// need this process's load reports to choose among its region's owners.
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

// silent returns the names of the neighbours whose links have been down for longer than they may take to come up.
func (a *Agent) silent(near []core.Host) []string {
	now := a.config.Timer.Now()
	var names []string
	seen := map[string]core.Instant{}
	for _, h := range near {
		key := h.Host + h.Incarnation
		first, known := a.seen[key]
		if !known {
			first = now
		}
		seen[key] = first
		if now.Sub(first) > linkGrace && !a.config.Links.Alive(h.LinkAddress) {
			names = append(names, h.Host)
		}
	}
	a.seen = seen
	return names
}

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

func (a *Agent) handleHosts(peer string, payload []byte) {
	if peer != a.config.Steer {
		return
	}
	var update core.HostsUpdate
	if err := wire.Decode(payload, &update); err != nil {
		event.DocumentInvalid.Write(a.config.Log, zap.String("peer", peer), zap.Error(err))
		return
	}
	a.hosts.Set(update)
}

func (a *Agent) handleLoad(peer string, payload []byte) {
	var report core.LoadReport
	if err := wire.Decode(payload, &report); err != nil {
		event.DocumentInvalid.Write(a.config.Log, zap.String("peer", peer), zap.Error(err))
		return
	}
	a.config.Update(report)
}

// sendLoad sends a report to the neighbours and the gateways and returns the bytes that it takes on the links.
func (a *Agent) sendLoad(load map[string]core.ServiceLoad) int {
	self := a.config.Registration()
	a.mu.Lock()
	a.sequence++
	report := core.LoadReport{Host: self.Host, Region: self.Region, Sequence: a.sequence, Services: load, Zone: self.Zone}
	peers := a.peers
	a.mu.Unlock()
	payload, err := wire.Encode(report)
	if err != nil {
		return 0
	}
	for _, p := range peers {
		_ = a.config.Links.Send(p, core.TopicLoad, payload)
	}
	return len(peers) * (len(payload) + loadFrameBytes)
}

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
	_ = a.config.Messages.Send(a.config.Steer, core.TopicEntryStatus, payload)
}

// addOwned fills in the owned objects of the newest ownership document of the region.
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

// objectsOf returns the names of the objects of an ownership document in order; they are decoded once per document,
// which takes 2 ms for 138 hosts, because the status is sent every 500 ms.
func (a *Agent) objectsOf(d core.Document) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.objectsAt == d.Version {
		return a.objects
	}
	var ownership core.Ownership
	if json.Unmarshal(d.Content, &ownership) != nil {
		return nil
	}
	a.objects = slices.Sorted(maps.Keys(ownership.Objects))
	a.objectsAt = d.Version
	return a.objects
}

func (a *Agent) sources() []string {
	if a.config.Links.Alive(a.config.Steer) {
		return []string{a.config.Steer}
	}
	return a.config.Peers
}

// neighbours returns the other entry processes of the region that a host exchanges load with.
func neighbours(self core.Host, hosts []core.Host) []core.Host {
	var region []core.Host
	for _, h := range hosts {
		if h.Region == self.Region && h.Host != self.Host && h.LinkAddress != "" {
			region = append(region, h)
		}
	}
	slices.SortFunc(region, func(a, b core.Host) int { return strings.Compare(a.Host, b.Host) })
	return nearest(self.Host, region)
}

// maxNeighbours bounds the links and load reports of one host; 16 covers every region of today's deployments.
const maxNeighbours = 16

// nearest returns up to maxNeighbours hosts: half of them before and half after name in the ring of sorted names, so that
// two hosts are always neighbours of each other.
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
