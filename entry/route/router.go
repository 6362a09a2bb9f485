package route

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

const (
	// zoneLatency is the one-way latency that a hop to another zone adds to the expected wait.
	zoneLatency = 4 * time.Millisecond
	// forgetAfter is the age from which the data of a host without newer reports is deleted.
	forgetAfter = time.Minute
	// shiftPause is the time during which no request is sent to a gateway that rejected one. With 200 ms, hosts used only a
	// quarter of a cap of 60/s, because the burst that the cap permits, a tenth of a second, is used up at once.
	shiftPause = 50 * time.Millisecond
	// stackOwners is the number of owners with links that a choice keeps on the stack: 16 neighbours and up to 6 grantors.
	// A choice among more owners allocates memory.
	stackOwners = 24
	fullPercent = 100
)

var (
	_ core.RouteFeedback = (*Router)(nil)
	_ core.Router        = (*Router)(nil)
)

// Router chooses hops by object ownership and, among the permitted hops, by load reports.
type Router struct {
	// blockedUntil holds, by shift, the time until which no request is sent to a gateway that rejected one.
	blockedUntil map[string]core.Instant
	config       Config
	mu           sync.Mutex
	// movedPercent accumulates the percentages of deliberate shifts by object. A request is moved each time 100 is reached.
	movedPercent map[string]int64
	peers        map[string]*peer
	table        atomic.Pointer[table]
	// rotation varies which of several equal owners is chosen.
	rotation int
}

// New returns a Router without load reports.
func New(config Config) *Router {
	return &Router{blockedUntil: map[string]core.Instant{}, config: config, movedPercent: map[string]int64{}, peers: map[string]*peer{}}
}

// RecordShiftRejection implements core.RouteFeedback.RecordShiftRejection; it blocks the shift for a short time.
func (r *Router) RecordShiftRejection(service, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blockedUntil[core.ShiftObject(service, r.config.Region, to)] = r.config.Timer.Now().Add(shiftPause)
}

// Route implements core.Router.Route.
func (r *Router) Route(request core.RouteRequest) (core.Hop, error) {
	t := r.current()
	if t == nil {
		return core.Hop{}, reject(codes.NotReady, "no settings are in force")
	}
	st := t.services[request.Service]
	if st == nil {
		return core.Hop{}, reject(codes.NoPermittedTarget, "service is not in the settings")
	}
	if request.ToRegion != "" && request.ToRegion != r.config.Region {
		if !permitted(&request, request.ToRegion) {
			return core.Hop{}, rejectRegion()
		}
		return r.remoteHop(&request, st)
	}
	fromRemote := request.FromRegion != "" && request.FromRegion != r.config.Region
	if !permitted(&request, r.config.Region) {
		return r.foreignHop(&request, st, fromRemote)
	}
	if !fromRemote && len(request.TriedHosts) == 0 && len(st.shifts) > 0 {
		if hop, ok := r.deliberateHop(&request, st); ok {
			return hop, nil
		}
	}
	local := r.localLoad(&request)
	if local.FreeSlots > 0 {
		return core.Hop{Kind: core.HopLocal, Region: r.config.Region}, nil
	}
	return r.peerHop(&request, st, local, fromRemote)
}

// Update applies a load report. While the last report of the host is fresh, it drops one whose sequence number is not
// higher.
func (r *Router) Update(report core.LoadReport) {
	now := r.config.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(report.Host, now)
	if p.fresh(now) && report.Sequence <= p.sequence {
		return
	}
	p.reportedAt = now
	p.region, p.zone = report.Region, report.Zone
	p.sequence = report.Sequence
	clear(p.services)
	for service, load := range report.Services {
		p.services[service] = &peerLoad{updatedAt: now, load: load}
	}
}

// UpdateServiceLoad implements core.RouteFeedback.UpdateServiceLoad.
func (r *Router) UpdateServiceLoad(host core.Host, service string, load core.ServiceLoad) {
	now := r.config.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(host.Host, now)
	p.region, p.zone = host.Region, host.Zone
	p.services[service] = &peerLoad{updatedAt: now, load: load}
}

// current returns the table of the current settings, or nil without settings.
func (r *Router) current() *table {
	s := r.config.Settings.Current()
	t := r.table.Load()
	if s == nil || t != nil && t.snapshot == s {
		return t
	}
	t = newTable(s, r.config.Region)
	r.table.Store(t)
	return t
}

// draining reports whether a host is draining according to its registration or the settings.
func (r *Router) draining(host *core.Host) bool {
	return host.State == core.HostDraining || slices.Contains(r.config.Settings.Current().Settings.Drains.Hosts, host.Host)
}

// forget deletes the data of hosts without a recent report.
func (r *Router) forget(now core.Instant) {
	for host, p := range r.peers {
		latest := p.reportedAt
		for _, l := range p.services {
			latest = max(latest, l.updatedAt)
		}
		if now.Sub(latest) > forgetAfter {
			delete(r.peers, host)
		}
	}
}

// foreignHop returns the hop of a request whose home regions do not include the local one.
func (r *Router) foreignHop(request *core.RouteRequest, st *serviceTable, fromRemote bool) (core.Hop, error) {
	if fromRemote {
		return core.Hop{}, rejectRegion()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if hop, ok := r.spillOver(request, st, nil, core.ServiceLoad{}); ok {
		return hop, nil
	}
	return core.Hop{}, rejectRegion()
}

// permitted reports whether the request may run in the region.
func permitted(request *core.RouteRequest, region string) bool {
	return len(request.HomeRegions) == 0 || slices.Contains(request.HomeRegions, region)
}

func rejectRegion() error {
	return reject(codes.NoPermittedTarget, "no home region of the request can be reached")
}

// gatewayHop returns the hop to the owner of a shift if it leads to a permitted region, is reachable and has not been tried.
func (r *Router) gatewayHop(request *core.RouteRequest, shift *shiftTable) (core.Hop, bool) {
	if !permitted(request, shift.to) {
		return core.Hop{}, false
	}
	host, ok := r.config.Ownership.Owner(r.config.Region, shift.object)
	if !ok || slices.Contains(request.TriedHosts, host.Host) {
		return core.Hop{}, false
	}
	if host.Host != r.config.Host && !r.config.Links.Alive(host.LinkAddress) {
		return core.Hop{}, false
	}
	return core.Hop{Kind: core.HopGateway, Peer: host, Region: shift.to}, true
}

// localLoad returns the load of the local targets, or no slots if this host has already been tried.
func (r *Router) localLoad(request *core.RouteRequest) core.ServiceLoad {
	if slices.Contains(request.TriedHosts, r.config.Host) {
		return core.ServiceLoad{}
	}
	return r.config.Load.ServiceLoad(request.Service)
}

// deliberateHop returns the hop of a request that belongs to the share that the settings move to another region.
func (r *Router) deliberateHop(request *core.RouteRequest, st *serviceTable) (core.Hop, bool) {
	now := r.config.Timer.Now()
	for _, shift := range st.shifts {
		if shift.percent <= 0 || !permitted(request, shift.to) || !r.takeShare(shift, now) {
			continue
		}
		if hop, ok := r.gatewayHop(request, shift); ok {
			return hop, true
		}
	}
	return core.Hop{}, false
}

// owners appends to buffer the live owners of the service in a region that have not been tried, without the local host.
// Their load is not set yet. It runs without the mutex, because looking up owners and links takes most of the time of a
// choice.
func (r *Router) owners(request *core.RouteRequest, st *serviceTable, region string, buffer []candidate) []candidate {
	cache := st.owners[region]
	if cache == nil {
		return buffer
	}
	for _, host := range cache.linked(&r.config, region, st.objects[region]) {
		if slices.Contains(request.TriedHosts, host.Host) || !r.config.Links.Alive(host.LinkAddress) {
			continue
		}
		buffer = append(buffer, candidate{draining: r.draining(host), host: host, localZone: host.Zone == r.config.Zone})
	}
	return buffer
}

// peer returns the data of a host, which is created if it does not exist; the mutex must be held.
func (r *Router) peer(host string, now core.Instant) *peer {
	p := r.peers[host]
	if p == nil {
		r.forget(now)
		p = &peer{services: map[string]*peerLoad{}}
		r.peers[host] = p
	}
	return p
}

// peerHop returns the best hop of a request for which no local slot is free. A request from a remote region stays in this one.
func (r *Router) peerHop(
	request *core.RouteRequest, st *serviceTable, local core.ServiceLoad, fromRemote bool,
) (core.Hop, error) {
	var buffer [stackOwners]candidate
	owners := r.owners(request, st, r.config.Region, buffer[:0])
	if len(owners) == 0 && (fromRemote || len(st.shifts) == 0) {
		// At ten times the capacity, requests without a choice waited longer for the mutex than for a slot.
		return r.queueHop(request, nil, local)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	owners = r.addLoads(request, owners, r.config.Region)
	if best := bestFree(owners); best != nil {
		return r.ownerHop(request, best, r.config.Region), nil
	}
	if !fromRemote {
		if hop, ok := r.spillOver(request, st, owners, local); ok {
			return hop, nil
		}
	}
	return r.queueHop(request, owners, local)
}

// spillOver returns the hop to another region if the expected wait in the local region is unknown or at least the
// round-trip time to that region. Hosts of the other region send load reports only to the gateway of the shift; other hosts
// rely on the gateway's rejections.
func (r *Router) spillOver(
	request *core.RouteRequest, st *serviceTable, owners []candidate, local core.ServiceLoad,
) (core.Hop, bool) {
	now := r.config.Timer.Now()
	wait, known := shortestWait(owners, local)
	for _, shift := range st.shifts {
		if known && wait < 2*time.Duration(shift.oneWayMs)*time.Millisecond {
			continue
		}
		if now.Before(r.blockedUntil[shift.object]) {
			continue
		}
		if spare, reported := r.spareSlots(request.Service, shift.to); reported && spare <= 0 {
			continue
		}
		if hop, ok := r.gatewayHop(request, shift); ok {
			return hop, true
		}
	}
	return core.Hop{}, false
}

// queueHop returns the hop to the host with the shortest expected wait, which may be the local one. The wait of an owner
// without a report is assumed to be the longest one known, and a draining owner is the last resort. The mutex must be held
// if there are owners.
func (r *Router) queueHop(request *core.RouteRequest, owners []candidate, local core.ServiceLoad) (core.Hop, error) {
	localWait := time.Duration(local.WaitMs) * time.Millisecond
	longestWait := localWait
	for i := range owners {
		longestWait = max(longestWait, owners[i].wait)
	}
	var best *candidate
	if len(owners) > 0 {
		r.rotation++
	}
	for i := range owners {
		c := &owners[(i+r.rotation)%len(owners)]
		if !c.reported {
			c.wait = longestWait
		}
		if best == nil || c.draining == best.draining && c.wait < best.wait || best.draining && !c.draining {
			best = c
		}
	}
	if local.Slots > 0 && (best == nil || best.draining || localWait <= best.wait) {
		return core.Hop{Kind: core.HopLocal, Region: r.config.Region}, nil
	}
	if best == nil {
		return core.Hop{}, reject(codes.NoPermittedTarget, "no reachable owner of the service is left")
	}
	return r.ownerHop(request, best, r.config.Region), nil
}

// shortestWait returns the shortest expected wait in the local region, or false if no owner there has reported one.
func shortestWait(owners []candidate, local core.ServiceLoad) (time.Duration, bool) {
	wait, known := time.Duration(local.WaitMs)*time.Millisecond, local.Slots > 0
	for i := range owners {
		if c := &owners[i]; c.reported && (!known || c.wait < wait) {
			wait, known = c.wait, true
		}
	}
	return wait, known
}

// remoteHop returns the hop to the preferred owner in the destination region that reported free slots.
func (r *Router) remoteHop(request *core.RouteRequest, st *serviceTable) (core.Hop, error) {
	var buffer [stackOwners]candidate
	owners := r.owners(request, st, request.ToRegion, buffer[:0])
	r.mu.Lock()
	defer r.mu.Unlock()
	best := bestFree(r.addLoads(request, owners, request.ToRegion))
	if best == nil {
		return core.Hop{}, reject(codes.NoPermittedTarget, "no owner of the other region reported free slots")
	}
	return r.ownerHop(request, best, request.ToRegion), nil
}

// reserve returns the number of slots that an owner in a zone reserves for requests of its own region.
func (r *Router) reserve(service, zone string, slots int) int {
	policy := r.config.Settings.Current().Policies[service][zone]
	return (slots*int(policy.ShiftReservePercent) + fullPercent - 1) / fullPercent
}

// ownerHop counts the request against the last report of an owner and returns the hop to it; the mutex must be held.
func (r *Router) ownerHop(request *core.RouteRequest, to *candidate, region string) core.Hop {
	if p := r.peers[to.host.Host]; p != nil && p.services[request.Service] != nil {
		l := p.services[request.Service]
		l.sent++
		if region != r.config.Region && l.freeSlots() < r.reserve(request.Service, p.zone, l.load.Slots) {
			l.probedAt = r.config.Timer.Now()
		}
	}
	return core.Hop{Kind: core.HopOwner, Peer: *to.host, Region: region}
}

// spareSlots returns the number of free slots that the hosts of another region reported and do not reserve for requests of
// their own region, or false if none of them has a recent report.
func (r *Router) spareSlots(service, region string) (int, bool) {
	now := r.config.Timer.Now()
	total, known := 0, false
	for _, p := range r.peers {
		if p.region != region {
			continue
		}
		if report, ok := p.load(service, now); ok {
			known = true
			total += max(0, report.spareSlots(r.reserve(service, p.zone, report.load.Slots), now))
		}
	}
	return total, known
}

// takeShare reports whether the next request belongs to the share of a deliberate shift. It returns false while the shift
// is blocked.
func (r *Router) takeShare(shift *shiftTable, now core.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.blockedUntil[shift.object]) {
		return false
	}
	r.movedPercent[shift.object] += shift.percent
	if r.movedPercent[shift.object] < fullPercent {
		return false
	}
	r.movedPercent[shift.object] -= fullPercent
	return true
}

// addLoads adds the reported loads to the owners in a region and removes owners without slots; the mutex must be held.
func (r *Router) addLoads(request *core.RouteRequest, owners []candidate, region string) []candidate {
	now := r.config.Timer.Now()
	candidates := owners[:0]
	for _, c := range owners {
		report, known := r.peers[c.host.Host].load(request.Service, now)
		if known && report.load.Slots == 0 {
			continue
		}
		if known {
			c.freeSlots, c.reported, c.wait = report.freeSlots(), true, report.wait()
		}
		if known && region != r.config.Region {
			c.freeSlots = report.spareSlots(r.reserve(request.Service, c.host.Zone, report.load.Slots), now)
		}
		if !c.localZone {
			c.wait += zoneLatency
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// bestFree returns the preferred candidate with free slots, or nil.
func bestFree(owners []candidate) *candidate {
	var best *candidate
	for i := range owners {
		c := &owners[i]
		if c.reported && c.freeSlots > 0 && (best == nil || c.better(best)) {
			best = c
		}
	}
	return best
}

// reject returns the error of a request that has no hop.
func reject(code codes.Code, text string) *core.RejectedError {
	return &core.RejectedError{Code: code, RetryAfter: time.Second, Text: text}
}
