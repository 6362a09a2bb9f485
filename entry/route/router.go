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
	// zoneHop is the one-way delay that a hop to another zone adds to the expected wait.
	zoneHop = 4 * time.Millisecond
	// forgetAfter is the age from which the report of a host is deleted.
	forgetAfter = time.Minute
	// shiftPause is the time for which a gateway that rejected a request is not asked again. With 200 ms, hosts used a
	// quarter of a cap of 60/s, because its burst of a tenth of a second is spent at once.
	shiftPause = 50 * time.Millisecond
	// usualOwners is the number of owners with links for which a choice allocates nothing: 16 neighbours and up to 6
	// grantors.
	usualOwners = 24
	fullPercent = 100
)

var (
	_ core.RouteFeedback = (*Router)(nil)
	_ core.Router        = (*Router)(nil)
)

// Router chooses hops by ownership, and among permitted hops by load reports.
type Router struct {
	// blocked holds the times until which gateways that rejected a request are not asked, by shift.
	blocked map[string]core.Instant
	config  Config
	mu      sync.Mutex
	// moved accumulates the percent of deliberate shifts by object; a request moves at each full 100.
	moved map[string]int64
	peers map[string]*peer
	table atomic.Pointer[table]
	// turn rotates between owners without information.
	turn int
}

// New returns a Router without load reports.
func New(config Config) *Router {
	return &Router{blocked: map[string]core.Instant{}, config: config, moved: map[string]int64{}, peers: map[string]*peer{}}
}

// RejectShift implements core.RouteFeedback.RejectShift; the gateway is not asked again for a short time.
func (r *Router) RejectShift(service, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[core.ShiftObject(service, r.config.Region, to)] = r.config.Timer.Now().Add(shiftPause)
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
		return r.remoteOwner(&request, st)
	}
	remote := request.FromRegion != "" && request.FromRegion != r.config.Region
	if !remote && len(request.TriedHosts) == 0 && len(st.shifts) > 0 {
		if hop, ok := r.moveShare(&request, st); ok {
			return hop, nil
		}
	}
	local := r.localLoad(&request)
	if local.FreeSlots > 0 {
		return core.Hop{Kind: core.HopLocal, Region: r.config.Region}, nil
	}
	return r.peerHop(&request, st, local, remote)
}

// Update takes over a load report; a report that is not newer than the last one of its host is dropped.
func (r *Router) Update(report core.LoadReport) {
	now := r.config.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(report.Host, now)
	if p.fresh(now) && report.Sequence <= p.sequence {
		return
	}
	p.at = now
	p.region, p.zone = report.Region, report.Zone
	p.sequence = report.Sequence
	clear(p.services)
	for service, load := range report.Services {
		p.services[service] = &peerLoad{at: now, load: load}
	}
}

// UpdateService implements core.RouteFeedback.UpdateService.
func (r *Router) UpdateService(host core.Host, service string, load core.ServiceLoad) {
	now := r.config.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(host.Host, now)
	p.region, p.zone = host.Region, host.Zone
	p.services[service] = &peerLoad{at: now, load: load}
}

// current returns the table of the settings in force, or nil.
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

// draining reports whether a host is about to leave by its registration or by the settings.
func (r *Router) draining(host *core.Host) bool {
	return host.State == core.HostDraining || slices.Contains(r.config.Settings.Current().Settings.Drains.Hosts, host.Host)
}

// forget deletes the reports of hosts that have been silent for long.
func (r *Router) forget(now core.Instant) {
	for host, p := range r.peers {
		newest := p.at
		for _, l := range p.services {
			newest = max(newest, l.at)
		}
		if now.Sub(newest) > forgetAfter {
			delete(r.peers, host)
		}
	}
}

// gateway returns the hop to the owner of a shift if it is reachable and was not tried.
func (r *Router) gateway(request *core.RouteRequest, shift *shiftTable) (core.Hop, bool) {
	host, ok := r.config.Ownership.Owner(r.config.Region, shift.object)
	if !ok || slices.Contains(request.TriedHosts, host.Host) {
		return core.Hop{}, false
	}
	if host.Host != r.config.Host && !r.config.Links.Alive(host.LinkAddress) {
		return core.Hop{}, false
	}
	return core.Hop{Kind: core.HopGateway, Peer: host, Region: shift.to}, true
}

// localLoad returns the load of the own targets, or none when this host was already tried.
func (r *Router) localLoad(request *core.RouteRequest) core.ServiceLoad {
	if slices.Contains(request.TriedHosts, r.config.Host) {
		return core.ServiceLoad{}
	}
	return r.config.Load.ServiceLoad(request.Service)
}

// moveShare returns the hop of a request that belongs to the share that settings move to another region.
func (r *Router) moveShare(request *core.RouteRequest, st *serviceTable) (core.Hop, bool) {
	now := r.config.Timer.Now()
	for _, shift := range st.shifts {
		if shift.percent <= 0 || !r.turnToMove(shift, now) {
			continue
		}
		if hop, ok := r.gateway(request, shift); ok {
			return hop, true
		}
	}
	return core.Hop{}, false
}

// owners adds the live owners of the service in a region that were not tried to space, without the own host and without
// their load. It needs no lock: looking up owners and links takes longer than all the rest of a choice.
func (r *Router) owners(request *core.RouteRequest, st *serviceTable, region string, space []candidate) []candidate {
	cache := st.owners[region]
	if cache == nil {
		return space
	}
	for _, host := range cache.linked(&r.config, region, st.objects[region]) {
		if slices.Contains(request.TriedHosts, host.Host) || !r.config.Links.Alive(host.LinkAddress) {
			continue
		}
		space = append(space, candidate{draining: r.draining(host), host: host, ownZone: host.Zone == r.config.Zone})
	}
	return space
}

// peer returns what is known about a host, which is nothing for a new one.
func (r *Router) peer(host string, now core.Instant) *peer {
	p := r.peers[host]
	if p == nil {
		r.forget(now)
		p = &peer{services: map[string]*peerLoad{}}
		r.peers[host] = p
	}
	return p
}

// peerHop returns the best hop of a request that finds no free local slot.
func (r *Router) peerHop(
	request *core.RouteRequest, st *serviceTable, local core.ServiceLoad, remote bool,
) (core.Hop, error) {
	var space [usualOwners]candidate
	owners := r.owners(request, st, r.config.Region, space[:0])
	if len(owners) == 0 && (remote || len(st.shifts) == 0) {
		// At ten times the capacity, requests without a choice queued for the lock for longer than for a slot.
		return r.queueHop(request, nil, local)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	owners = r.weigh(request, owners, r.config.Region)
	if best := bestFree(owners); best != nil {
		return r.send(request, best, r.config.Region), nil
	}
	if !remote {
		if hop, ok := r.spill(request, st, owners, local); ok {
			return hop, nil
		}
	}
	return r.queueHop(request, owners, local)
}

// spill returns the hop to another region if waiting in the own region would take longer than the round trip there.
// The hosts of the other region report their load to its gateway only; other hosts learn of the gateway's rejections.
func (r *Router) spill(
	request *core.RouteRequest, st *serviceTable, owners []candidate, local core.ServiceLoad,
) (core.Hop, bool) {
	now := r.config.Timer.Now()
	wait, known := leastWait(owners, local)
	for _, shift := range st.shifts {
		if known && wait < 2*time.Duration(shift.oneWayMs)*time.Millisecond {
			continue
		}
		if now.Before(r.blocked[shift.object]) {
			continue
		}
		if spare, reported := r.spare(request.Service, shift.to); reported && spare <= 0 {
			continue
		}
		if hop, ok := r.gateway(request, shift); ok {
			return hop, true
		}
	}
	return core.Hop{}, false
}

// queueHop returns the owner with the least expected wait; an owner without information counts like the longest
// known queue, and one that is draining is the last resort. The mutex is held if there are owners.
func (r *Router) queueHop(request *core.RouteRequest, owners []candidate, local core.ServiceLoad) (core.Hop, error) {
	localWait := time.Duration(local.WaitMs) * time.Millisecond
	longest := localWait
	for i := range owners {
		longest = max(longest, owners[i].wait)
	}
	var best *candidate
	if len(owners) > 0 {
		r.turn++
	}
	for i := range owners {
		c := &owners[(i+r.turn)%len(owners)]
		if !c.known {
			c.wait = longest
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
	return r.send(request, best, r.config.Region), nil
}

// leastWait returns the shortest expected wait in the own region, or false if no owner there has told one.
func leastWait(owners []candidate, local core.ServiceLoad) (time.Duration, bool) {
	wait, known := time.Duration(local.WaitMs)*time.Millisecond, local.Slots > 0
	for i := range owners {
		if c := &owners[i]; c.known && (!known || c.wait < wait) {
			wait, known = c.wait, true
		}
	}
	return wait, known
}

// remoteOwner returns the owner in the destination region with the most reported free slots.
func (r *Router) remoteOwner(request *core.RouteRequest, st *serviceTable) (core.Hop, error) {
	var space [usualOwners]candidate
	owners := r.owners(request, st, request.ToRegion, space[:0])
	r.mu.Lock()
	defer r.mu.Unlock()
	best := bestFree(r.weigh(request, owners, request.ToRegion))
	if best == nil {
		return core.Hop{}, reject(codes.NoPermittedTarget, "no owner of the other region reported free slots")
	}
	return r.send(request, best, request.ToRegion), nil
}

// reserve returns how many slots an owner in a zone keeps for requests of its own region.
func (r *Router) reserve(service, zone string, slots int) int {
	policy := r.config.Settings.Current().Policies[service][zone]
	return (slots*int(policy.ShiftReservePercent) + fullPercent - 1) / fullPercent
}

// send counts the request against the report of its owner and returns the hop.
func (r *Router) send(request *core.RouteRequest, to *candidate, region string) core.Hop {
	if p := r.peers[to.host.Host]; p != nil && p.services[request.Service] != nil {
		l := p.services[request.Service]
		l.sent++
		if region != r.config.Region && l.free() < r.reserve(request.Service, p.zone, l.load.Slots) {
			l.probedAt = r.config.Timer.Now()
		}
	}
	return core.Hop{Kind: core.HopOwner, Peer: *to.host, Region: region}
}

// spare returns the free slots that the hosts of another region reported and do not reserve for local requests, or
// false if none of them reported lately.
func (r *Router) spare(service, region string) (int, bool) {
	now := r.config.Timer.Now()
	sum, known := 0, false
	for _, p := range r.peers {
		if p.region != region {
			continue
		}
		if load, ok := p.heard(service, now); ok {
			known = true
			sum += max(0, load.spare(r.reserve(service, p.zone, load.load.Slots), now))
		}
	}
	return sum, known
}

// turnToMove reports whether the next request belongs to the share of a deliberate shift; none does while the gateway is
// not to be asked.
func (r *Router) turnToMove(shift *shiftTable, now core.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.blocked[shift.object]) {
		return false
	}
	r.moved[shift.object] += shift.percent
	if r.moved[shift.object] < fullPercent {
		return false
	}
	r.moved[shift.object] -= fullPercent
	return true
}

// weigh adds what the owners in a region reported and leaves out those without slots; the mutex is held.
func (r *Router) weigh(request *core.RouteRequest, owners []candidate, region string) []candidate {
	now := r.config.Timer.Now()
	kept := owners[:0]
	for _, c := range owners {
		load, known := r.peers[c.host.Host].heard(request.Service, now)
		if known && load.load.Slots == 0 {
			continue
		}
		if known {
			c.free, c.known, c.wait = load.free(), true, load.wait()
		}
		if known && region != r.config.Region {
			c.free = load.spare(r.reserve(request.Service, c.host.Zone, load.load.Slots), now)
		}
		if !c.ownZone {
			c.wait += zoneHop
		}
		kept = append(kept, c)
	}
	return kept
}

// bestFree returns the candidate with free slots that is preferred, or nil.
func bestFree(owners []candidate) *candidate {
	var best *candidate
	for i := range owners {
		c := &owners[i]
		if c.known && c.free > 0 && (best == nil || c.better(best)) {
			best = c
		}
	}
	return best
}

// reject returns the error of a request that has no hop.
func reject(code codes.Code, text string) *core.RejectedError {
	return &core.RejectedError{Code: code, RetryAfter: time.Second, Text: text}
}
