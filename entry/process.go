package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/admin"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/flags"
	"ebonyrouter.dev/core/intake"
	"ebonyrouter.dev/core/links"
	"ebonyrouter.dev/core/memory"
	"ebonyrouter.dev/core/meter"
	"ebonyrouter.dev/core/pubsub"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/entry/agent"
	"ebonyrouter.dev/entry/dedup"
	"ebonyrouter.dev/entry/lease"
	"ebonyrouter.dev/entry/limit"
	"ebonyrouter.dev/entry/lookup"
	"ebonyrouter.dev/entry/proxy"
	"ebonyrouter.dev/entry/quota"
	"ebonyrouter.dev/entry/retry"
	"ebonyrouter.dev/entry/route"
	"ebonyrouter.dev/steer/share"
)

const (
	lookupPath = "/v1/lookup"
	// bufferedBodyBytes is the largest request body that is read before its request is served. Larger ones are streamed.
	bufferedBodyBytes = 64 << 10
	maxHeaderBytes    = 1 << 20
	// relayIdleTimeout is longer than peers keep idle connections, which is 20 s: closing earlier would race with the next request.
	relayIdleTimeout = time.Minute
	// fallibleTasks is the number of tasks that can return an error: the messenger and the three HTTP servers.
	fallibleTasks = 4
)

// process is a running entry process.
type process struct {
	admin        *admin.Server
	agent        *agent.Agent
	callerServer *intake.Server
	// callerListener and relayListener are bound before any task starts.
	callerListener net.Listener
	dedup          *dedup.Deduper
	deadlines      deadlines
	gate           *gate
	grantor        *lease.Grantor
	holder         *lease.Holder
	hosts          *agent.Hosts
	limiter        *limit.Limiter
	links          *links.Manager
	sharedLinks    *links.Shared
	log            *zap.Logger
	loader         *lookup.Loader
	lookup         *lookup.Ranker
	memory         *memory.Guard
	messages       *pubsub.Messenger
	meter          *meter.Meter
	options        options
	proxy          *proxy.Proxy
	// quotas is the value for proxy.Config.Quotas; without customers with a quota it does nothing.
	quotas           *quota.Limiter
	quotaCoordinator *share.Coordinator
	relayServer      *intake.Server
	relayListener    net.Listener
	router           *route.Router
	settings         *config.Holder
	state            atomic.Value
	timer            core.Timer
	dedupForwarder   *dedup.Forwarder
}

// newProcess creates the components of a process and binds its addresses; serve runs it.
func newProcess(o options, log *zap.Logger) (*process, error) {
	clock, err := timer.NewSystem()
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &process{hosts: &agent.Hosts{}, log: log, meter: meter.New(), options: o, settings: config.NewHolder(), timer: clock}
	p.state.Store(core.HostStarting)
	p.settings.Subscribe(p.deadlines.add)
	p.memory = memory.NewGuard(*o.MemoryMB, *o.MaxFDs, log, clock)
	p.links, err = links.New(clock, log, links.WithHandlerLimit(dedup.MaxLinkRequests),
		links.WithAdvertise(*o.Link),
		links.WithGuard(p.memory), links.WithListen(o.Listen(*o.Link)), links.WithSource(o.Source()), links.WithToken(*o.Token))
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.sharedLinks = links.NewShared(p.links)
	p.links.Export(p.meter)
	p.messages, err = pubsub.NewMessenger(p.links)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.newLeases()
	p.newRequestPath()
	p.newAgent()
	p.exportGauges()
	return p, errors.Trace(p.newServers())
}

// newAgent creates the agent, which connects the process to its steer and peers.
func (p *process) newAgent() {
	p.agent = agent.New(agent.Config{
		Adopter:        &adopter{holder: p.holder, settings: p.settings},
		InFlight:       p.gate.InFlight,
		InUse:          p.limiter.InUse,
		Lease:          p.holder,
		LeaseAddresses: func() []string { return append(p.holder.Addresses(), p.grantor.Addresses()...) },
		Links:          p.sharedLinks.User(),
		Load:           p.limiter.Load,
		Log:            p.log,
		Messages:       p.messages,
		PeerSteers:     *p.options.Peers,
		Registration:   p.registration,
		Settings:       p.settings,
		SteerAddress:   *p.options.steerAddress,
		Timer:          p.timer,
		HandleLoad:     p.router.Update,
	}, p.hosts)
}

// newLeases creates the lease holder and the grantor.
func (p *process) newLeases() {
	p.holder = lease.NewHolder(
		*p.options.Host, *p.options.Region, flags.NewIncarnation(), *p.options.steerAddress, p.timer, p.links, p.hosts,
		lease.WithOnChange(func() { p.limiter.UpdateOwnership() }),
		lease.WithMaxDeadline(p.deadlines.forObject),
		lease.WithInUse(func(object string) int { return p.limiter.InUse()[object] }),
		lease.WithLogger(p.log),
		lease.WithOnRejoin(func(string) { p.agent.SendStatus() }),
	)
	p.grantor = lease.NewGrantor(p.holder, p.hosts.StoreDown)
	p.links.HandleRequest(core.TopicLeaseRenew, p.grantor.HandleRenew)
	p.messages.HandleMessage(core.TopicLeaseAdvice, p.handleLeaseAdvice)
	p.links.HandleMessage(core.TopicLeaseWithdrawn, p.grantor.HandleWithdrawn)
}

// newRequestPath creates the components that handle lookups and requests.
func (p *process) newRequestPath() {
	p.limiter = limit.New(limit.Config{
		Lease: p.holder, Region: *p.options.Region, Settings: p.settings, Timer: p.timer, Zone: *p.options.Zone,
	})
	p.router = route.New(route.Config{
		Host: *p.options.Host, Links: p.links, Load: p.limiter, Ownership: p.holder,
		Region: *p.options.Region, Settings: p.settings, Timer: p.timer, Zone: *p.options.Zone,
	})
	p.lookup = lookup.NewRanker(p.log, p.settings, p.hosts.Live())
	client := store.NewClient(*p.options.Store, store.WithSource(p.options.Source()))
	p.loader = lookup.NewLoader(p.log, p.settings, client, p.lookup)
	p.dedup = dedup.New(dedup.Config{
		Log: p.log, Store: client, Timer: p.timer, UnixMs: func() int64 { return time.Now().UnixMilli() },
	})
	p.dedupForwarder = dedup.NewForwarder(dedup.ForwarderConfig{
		Host: *p.options.Host, Hosts: p.hosts, Links: p.sharedLinks.User(), Local: p.dedup, Log: p.log,
		Region: *p.options.Region, Settings: p.settings, Timer: p.timer,
	})
	p.exportDedupMetrics()
	p.newQuotas(client)
	p.proxy = proxy.New(proxy.Config{
		Admitter: p.limiter,
		Budget:   retry.New(p.settings, p.timer, *p.options.Zone),
		Deduper:  p.dedupForwarder,
		Feedback: p.router,
		Load:     p.limiter,
		Log:      p.log,
		Memory:   p.memory.Budget,
		Observer: meter.NewObserver(p.meter),
		Router:   p.router,
		Self:     p.registration(),
		Settings: p.settings,
		Shifter:  p.limiter,
		Source:   p.options.Source(),
		Timer:    p.timer,
	})
	p.gate = &gate{next: p.callerHandler()}
}

// quotaBounds bounds the requests of a customer over its quota: a tenth and 20 requests in any 5 s.
var quotaBounds = core.QuotaBounds{Over: 0.1, Slack: 20, Window: 5 * time.Second}

// newQuotas creates the limiter of customers' quotas and the coordinator that divides them.
func (p *process) newQuotas(client core.Store) {
	self := p.registration()
	elector := share.NewElector(self, share.NewObjectStore(client), quotaBounds, false, p.timer, p.log)
	p.quotaCoordinator = share.NewCoordinator(elector, p.settings)
	p.links.HandleRequest(core.TopicQuota, p.quotaCoordinator.HandleRequest)
	p.quotas = quota.NewLimiter(quota.Config{
		Bounds: quotaBounds, Coordinator: p.quotaCoordinator, Links: p.sharedLinks.User(), Log: p.log, Self: self, Timer: p.timer,
		OnRefuse: func(customer string) { p.meter.CountCustomer("ebony_quota_refused_total", customer) },
		// The order of all hosts is not known here, so that no request is served without a share.
		Rank: func() (int, int) { return -1, 1 },
	})
}

// newServers binds all addresses, so that a port in use is reported before any task starts.
func (p *process) newServers() error {
	var err error
	p.admin, err = admin.New(p.log, p.options.Listen(*p.options.Admin), p.registerRoutes,
		admin.WithGuard(p.memory), admin.WithMetrics(p.meter.Handler()), admin.WithReady(p.ready), admin.WithToken(*p.options.Token))
	if err != nil {
		return errors.Trace(err)
	}
	p.callerListener, err = listen(p.options.Listen(*p.options.callerAddress))
	if err != nil {
		return errors.Trace(err)
	}
	p.relayListener, err = listen(p.options.Listen(*p.options.relayAddress))
	if err != nil {
		return errors.Trace(err)
	}
	p.callerListener = p.memory.Listen(p.callerListener, "callers", p.memory.Limits.Callers)
	p.relayListener = p.memory.Listen(p.relayListener, "relay", p.memory.Limits.Links)
	p.memory.Export(p.meter)
	p.callerServer = p.newServer(p.gate)
	p.relayServer = p.newServer(p.proxy.RelayHandler())
	p.relayServer.IdleTimeout = relayIdleTimeout
	return nil
}

// newServer returns a server for requests that are forwarded.
func (p *process) newServer(handler http.Handler) *intake.Server {
	s := intake.New(handler, p.memory.Budget, p.log)
	s.MaxBufferedBodyBytes, s.MaxHeaderBytes = bufferedBodyBytes, maxHeaderBytes
	return s
}

// callerHandler serves lookups and forwards all other requests. A request that names a service is always forwarded,
// because all paths of a service belong to its upstreams.
func (p *process) callerHandler() http.Handler {
	forward := p.proxy.CallerHandler()
	lookups := p.lookup.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == lookupPath && r.Header.Get(core.HeaderService) == "" && !p.servesHost(r.Host) {
			lookups.ServeHTTP(w, r)
			return
		}
		forward.ServeHTTP(w, r)
	})
}

// ready returns an error unless settings with the zone of this process are in force and the process is ready.
func (p *process) ready() error {
	if err := p.settings.Current().CheckZone(*p.options.Region, *p.options.Zone); err != nil {
		return errors.Trace(err)
	}
	if state := p.state.Load(); state != core.HostReady {
		return errors.Errorf("state is %s", state)
	}
	return nil
}

// registration returns the addresses, region, zone and state of this process for other processes.
func (p *process) registration() core.Host {
	state, _ := p.state.Load().(core.HostState)
	return core.Host{
		AdminAddress: *p.options.Admin,
		EntryAddress: *p.options.callerAddress,
		Host:         *p.options.Host,
		Incarnation:  p.holder.Incarnation(),
		LinkAddress:  *p.options.Link,
		Region:       *p.options.Region,
		RelayAddress: *p.options.relayAddress,
		State:        state,
		SteerAddress: *p.options.steerAddress,
		Zone:         *p.options.Zone,
	}
}

// serve runs all tasks until a task fails, or until a signal arrives and the graceful stop has finished.
func (p *process) serve(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failures := make(chan error, fallibleTasks)
	var group sync.WaitGroup
	group.Go(func() { p.agent.Run(ctx) })
	group.Go(func() { p.memory.Run(ctx) })
	group.Go(func() { p.holder.Run(ctx) })
	group.Go(func() { p.grantor.Run(ctx) })
	group.Go(func() { p.watchReady(ctx) })
	group.Go(func() { p.lookup.Run(ctx, p.timer) })
	group.Go(func() { p.loader.Run(ctx, p.timer) })
	group.Go(func() { p.quotas.Run(ctx) })
	group.Go(func() { p.quotaCoordinator.Run(ctx) })
	group.Go(func() { failures <- p.messages.Run(ctx) })
	group.Go(func() { failures <- p.admin.Run(ctx) })
	group.Go(func() { failures <- serveHTTP(p.callerServer, p.callerListener) })
	group.Go(func() { failures <- serveHTTP(p.relayServer, p.relayListener) })
	event.ProcessStarted.Write(p.log, zap.String("incarnation", p.holder.Incarnation()))
	var err error
	select {
	case err = <-failures:
	case <-signals:
		err = p.drain(ctx, signals)
	}
	cancel()
	_ = p.callerServer.Close()
	_ = p.relayServer.Close()
	group.Wait()
	p.dedup.Close()
	_ = p.proxy.Close()
	p.limiter.Close()
	if closeErr := p.links.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

// listen binds an address.
func listen(address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	return listener, errors.Annotatef(err, "listen on %s (code %d)", address, codes.ListenFailed)
}

// serveHTTP serves requests until the server is closed, which is not an error.
func serveHTTP(server *intake.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, intake.ErrClosed) {
		return nil
	}
	return errors.Annotatef(err, "serve on %s", listener.Addr())
}

// servesHost reports whether a service uses this host name.
func (p *process) servesHost(host string) bool {
	snapshot := p.settings.Current()
	if snapshot == nil {
		return false
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = host
	}
	_, ok := snapshot.ServiceOf[name]
	return ok
}

// watchReady changes the state from starting to ready once settings are in force.
func (p *process) watchReady(ctx context.Context) {
	ticks := p.timer.Subscribe(readyInterval)
	defer ticks.Stop()
	for {
		if p.settings.Current() != nil && p.state.CompareAndSwap(core.HostStarting, core.HostReady) {
			p.agent.SendStatus()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}
