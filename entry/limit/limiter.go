package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

const (
	// queueTickInterval is the interval at which new settings, changes of ownership and ended ejections are applied while
	// requests wait.
	queueTickInterval = 20 * time.Millisecond
	// idleTickInterval is the interval of ticks while no request waits. At queueTickInterval, these ticks were half of
	// all ticks of an idle process; UpdateOwnership applies changes of ownership without waiting for a tick.
	idleTickInterval = 100 * time.Millisecond
)

var (
	_ core.Admitter   = (*Limiter)(nil)
	_ core.LoadSource = (*Limiter)(nil)
	_ core.Shifter    = (*Limiter)(nil)
)

// Limiter grants the slots of the targets and enforces the caps of the shifts that this process owns.
type Limiter struct {
	config   Config
	done     chan struct{}
	mu       sync.RWMutex
	pools    map[string]*pool
	shifts   map[string]*shift
	snapshot *core.Snapshot
	stop     chan struct{}
	stopOnce sync.Once
	// queueStarted is signaled when a request starts to wait while no other does; waiting counts the requests that wait.
	queueStarted chan struct{}
	waiting      atomic.Int64
}

// New returns a Limiter and starts its background goroutine, which Close stops.
func New(config Config) *Limiter {
	l := &Limiter{
		config:       config,
		done:         make(chan struct{}),
		queueStarted: make(chan struct{}, 1),
		pools:        map[string]*pool{},
		shifts:       map[string]*shift{},
		stop:         make(chan struct{}),
	}
	go l.run(config.Timer.Subscribe(idleTickInterval))
	return l
}

// Admit implements core.Admitter.Admit.
func (l *Limiter) Admit(ctx context.Context, request core.AdmitRequest) (core.Grant, error) {
	p, rejected := l.pool(request.Service)
	if rejected != nil {
		return nil, rejected
	}
	g, w, rejected := p.admit(&request, l.config.Timer.Now())
	if rejected != nil {
		return nil, rejected
	}
	if g != nil {
		return g, nil
	}
	return l.wait(ctx, p, w)
}

// Close stops the background goroutine and waits until it has ended.
func (l *Limiter) Close() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.done
}

// Idle reports whether no target or shift has in-flight requests and no request is queued.
func (l *Limiter) Idle() bool {
	if len(l.InUse()) > 0 {
		return false
	}
	for _, load := range l.Load() {
		if load.Queued > 0 {
			return false
		}
	}
	return true
}

// InUse returns the number of in-flight requests of each object that has any, by ownership key.
func (l *Limiter) InUse() map[string]int {
	l.adoptSettings()
	l.mu.RLock()
	defer l.mu.RUnlock()
	counts := map[string]int{}
	for _, p := range l.pools {
		p.addInFlight(counts)
	}
	for object, s := range l.shifts {
		if n := s.tick(l.config.Timer.Now(), l.config.Lease); n > 0 {
			counts[object] = n
		}
	}
	return counts
}

// Load returns the load of the owned targets of each service, for load reports.
func (l *Limiter) Load() map[string]core.ServiceLoad {
	l.adoptSettings()
	l.mu.RLock()
	defer l.mu.RUnlock()
	loads := make(map[string]core.ServiceLoad, len(l.pools))
	for service, p := range l.pools {
		if load := p.load(l.config.Timer.Now()); load.Slots > 0 || load.Queued > 0 {
			loads[service] = load
		}
	}
	return loads
}

// UpdateOwnership checks at once which shifts this process owns. A shift that was lost and acquired again must not admit
// requests for one second, even if both happened between two ticks.
func (l *Limiter) UpdateOwnership() {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.config.Timer.Now()
	for _, s := range l.shifts {
		s.tick(now, l.config.Lease)
	}
}

// ReserveShift implements core.Shifter.ReserveShift.
func (l *Limiter) ReserveShift(service, from, to string) (core.ShiftGrant, error) {
	l.adoptSettings()
	l.mu.RLock()
	s := l.shifts[core.ShiftObject(service, from, to)]
	l.mu.RUnlock()
	if s == nil {
		return nil, reject(codes.NoPermittedTarget, time.Second, "settings have no such shift from this region")
	}
	return s.reserve(l.config.Timer.Now(), l.config.Lease)
}

// ServiceLoad implements core.LoadSource.ServiceLoad.
func (l *Limiter) ServiceLoad(service string) core.ServiceLoad {
	p, rejected := l.pool(service)
	if rejected != nil {
		return core.ServiceLoad{}
	}
	return p.load(l.config.Timer.Now())
}

// Stats returns the number of owned targets and shifts by state.
func (l *Limiter) Stats() Stats {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var s Stats
	for _, p := range l.pools {
		s.addPool(p)
	}
	for _, sh := range l.shifts {
		s.addShift(sh)
	}
	return s
}

// pool returns the pool of a service, or a rejection if the current settings do not contain the service.
func (l *Limiter) pool(service string) (*pool, *core.RejectedError) {
	l.adoptSettings()
	l.mu.RLock()
	p := l.pools[service]
	ready := l.snapshot != nil
	l.mu.RUnlock()
	if p != nil {
		return p, nil
	}
	if !ready {
		return nil, reject(codes.NotReady, time.Second, "no settings are in force")
	}
	return nil, reject(codes.NoPermittedTarget, time.Second, "service is not in the settings")
}

// adoptSettings creates the pools and shifts that a new revision of the settings adds and applies the caps of all shifts.
// Pools and shifts that were removed from the settings remain, but admit nothing.
func (l *Limiter) adoptSettings() {
	snapshot := l.config.Settings.Current()
	l.mu.RLock()
	current := l.snapshot == snapshot
	l.mu.RUnlock()
	if current || snapshot == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.snapshot == snapshot {
		return
	}
	l.snapshot = snapshot
	for service := range snapshot.Settings.Services {
		if l.pools[service] == nil {
			l.pools[service] = newPool(l.config, service)
		}
	}
	l.applyShifts(snapshot)
}

// applyShifts applies the caps of the shifts that start in the local region.
func (l *Limiter) applyShifts(snapshot *core.Snapshot) {
	shifts := map[string]core.ShiftSettings{}
	for _, settings := range snapshot.Settings.Shifts {
		if settings.From == l.config.Region {
			shifts[core.ShiftObject(settings.Service, settings.From, settings.To)] = settings
		}
	}
	for object := range shifts {
		if l.shifts[object] == nil {
			l.shifts[object] = newShift(object, l.config.Timer)
		}
	}
	for object, s := range l.shifts {
		settings := shifts[object]
		s.apply(settings.RequestsPerSecond, core.BandwidthOf(&snapshot.Settings, settings), snapshot.Policies[settings.Service][l.config.Zone])
	}
}

// run updates the pools and shifts on every tick until Close, and more often while requests wait.
func (l *Limiter) run(ticks core.Subscription) {
	defer close(l.done)
	defer ticks.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-l.queueStarted:
			l.tickWhileQueued()
		case <-ticks.C():
			l.tick()
		}
	}
}

// tickWhileQueued ticks at queueTickInterval until no request waits.
func (l *Limiter) tickWhileQueued() {
	ticks := l.config.Timer.Subscribe(queueTickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticks.C():
			l.tick()
		}
		// The count is checked only after a tick, so that consecutive short waits do not each start a new subscription.
		if l.waiting.Load() == 0 {
			return
		}
	}
}

// tick applies the settings and the ownership to every pool and shift, and serves the queues.
func (l *Limiter) tick() {
	l.adoptSettings()
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.config.Timer.Now()
	for _, p := range l.pools {
		p.tick(now)
	}
	for _, s := range l.shifts {
		s.tick(now, l.config.Lease)
	}
}

// wait blocks until w is granted a slot or rejected, its deadline passes or ctx is cancelled.
func (l *Limiter) wait(ctx context.Context, p *pool, w *waiter) (core.Grant, error) {
	if l.waiting.Add(1) == 1 {
		select {
		case l.queueStarted <- struct{}{}:
		default:
		}
	}
	defer l.waiting.Add(-1)
	deadline := l.config.Timer.After(w.request.Deadline.Sub(l.config.Timer.Now()))
	select {
	case r := <-w.result:
		if r.err != nil {
			return nil, r.err
		}
		p.schedulingDelay.record(l.config.Timer.Now().Sub(r.grant.grantedAt))
		return r.grant, nil
	case <-ctx.Done():
		p.abandon(w)
		return nil, reject(codes.QueueAbandoned, 0, "caller went away while the request waited")
	case <-deadline:
		p.abandon(w)
		return nil, reject(codes.DeadlineTooShort, 0, "deadline passed in the queue")
	}
}
