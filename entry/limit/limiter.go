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
	// pumpInterval is the time after which waiters learn of new settings, ownership or ended ejections.
	pumpInterval = 20 * time.Millisecond
	// observeInterval is the time between two ticks while no request waits. With the interval of the waiters these ticks
	// were half of those of an idle process; a change of ownership is noted at once by Observe.
	observeInterval = 100 * time.Millisecond
)

var (
	_ core.Admitter   = (*Limiter)(nil)
	_ core.LoadSource = (*Limiter)(nil)
	_ core.Shifter    = (*Limiter)(nil)
)

// Limiter grants slots of targets and requests of shifts that this process owns.
type Limiter struct {
	config   Config
	done     chan struct{}
	mu       sync.RWMutex
	pools    map[string]*pool
	shifts   map[string]*shift
	snapshot *core.Snapshot
	stop     chan struct{}
	stopOnce sync.Once
	// waiting counts the requests that wait; pump is signalled by the first of them.
	pump    chan struct{}
	waiting atomic.Int64
}

// New returns a Limiter and starts its task; Close ends it.
func New(config Config) *Limiter {
	l := &Limiter{
		config: config,
		done:   make(chan struct{}),
		pump:   make(chan struct{}, 1),
		pools:  map[string]*pool{},
		shifts: map[string]*shift{},
		stop:   make(chan struct{}),
	}
	go l.run(config.Timer.Subscribe(observeInterval))
	return l
}

// Admit implements core.Admitter.Admit.
func (l *Limiter) Admit(ctx context.Context, request core.AdmitRequest) (core.Grant, error) {
	p, rejected := l.pool(request.Service)
	if rejected != nil {
		return nil, rejected
	}
	g, w, rejected := p.enter(&request, l.config.Timer.Now())
	if rejected != nil {
		return nil, rejected
	}
	if g != nil {
		return g, nil
	}
	return l.wait(ctx, p, w)
}

// Close ends the task of the Limiter and waits for it.
func (l *Limiter) Close() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.done
}

// Idle reports whether no slot and no shift is in use and no request waits.
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

// InUse returns the number of requests in flight for each owned object that has any.
func (l *Limiter) InUse() map[string]int {
	l.refresh()
	l.mu.RLock()
	defer l.mu.RUnlock()
	used := map[string]int{}
	for _, p := range l.pools {
		p.inUse(used)
	}
	for object, s := range l.shifts {
		if n := s.tick(l.config.Timer.Now(), l.config.Lease); n > 0 {
			used[object] = n
		}
	}
	return used
}

// Load returns the load of the owned targets by service, for load reports.
func (l *Limiter) Load() map[string]core.ServiceLoad {
	l.refresh()
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

// Observe notes a change of the owned objects at once, because a shift that was lost must admit nothing for a while
// when it returns, however soon that is.
func (l *Limiter) Observe() {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.config.Timer.Now()
	for _, s := range l.shifts {
		s.tick(now, l.config.Lease)
	}
}

// ReserveShift implements core.Shifter.ReserveShift.
func (l *Limiter) ReserveShift(service, from, to string) (core.ShiftGrant, error) {
	l.refresh()
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

// Stats returns the state of the owned targets and shifts.
func (l *Limiter) Stats() Stats {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var s Stats
	for _, p := range l.pools {
		s.addPool(p)
	}
	for _, f := range l.shifts {
		s.addShift(f)
	}
	return s
}

// pool returns the pool of a service of the settings in force.
func (l *Limiter) pool(service string) (*pool, *core.RejectedError) {
	l.refresh()
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

// refresh creates what a new revision of the settings names; pools and shifts that left it stay, without rights.
func (l *Limiter) refresh() {
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
	l.refreshShifts(snapshot)
}

// refreshShifts applies the caps of the shifts from the own region.
func (l *Limiter) refreshShifts(snapshot *core.Snapshot) {
	rates := map[string]core.ShiftSettings{}
	for _, settings := range snapshot.Settings.Shifts {
		if settings.From == l.config.Region {
			rates[core.ShiftObject(settings.Service, settings.From, settings.To)] = settings
		}
	}
	for object := range rates {
		if l.shifts[object] == nil {
			l.shifts[object] = newShift(object, l.config.Timer)
		}
	}
	for object, s := range l.shifts {
		settings := rates[object]
		s.apply(settings.RequestsPerSecond, core.BandwidthOf(&snapshot.Settings, settings), snapshot.Policies[settings.Service][l.config.Zone])
	}
}

// run observes shifts, and serves the queues while requests wait, at regular times until Close.
func (l *Limiter) run(ticks core.Subscription) {
	defer close(l.done)
	defer ticks.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-l.pump:
			l.runPump()
		case <-ticks.C():
			l.tick()
		}
	}
}

// runPump serves the queues until no request waits.
func (l *Limiter) runPump() {
	ticks := l.config.Timer.Subscribe(pumpInterval)
	defer ticks.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticks.C():
			l.tick()
		}
		// The queues are looked at only here, so that short waits one after the other do not each start new ticks.
		if l.waiting.Load() == 0 {
			return
		}
	}
}

// tick pumps every pool and observes every shift.
func (l *Limiter) tick() {
	l.refresh()
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.config.Timer.Now()
	for _, p := range l.pools {
		p.pump(now)
	}
	for _, s := range l.shifts {
		s.tick(now, l.config.Lease)
	}
}

// wait blocks until the waiter is granted a slot, is rejected, passes its deadline or is cancelled.
func (l *Limiter) wait(ctx context.Context, p *pool, w *waiter) (core.Grant, error) {
	if l.waiting.Add(1) == 1 {
		select {
		case l.pump <- struct{}{}:
		default:
		}
	}
	defer l.waiting.Add(-1)
	deadline := l.config.Timer.After(w.request.Deadline.Sub(l.config.Timer.Now()))
	select {
	case a := <-w.ready:
		if a.err != nil {
			return nil, a.err
		}
		p.lag.record(l.config.Timer.Now().Sub(a.grant.from))
		return a.grant, nil
	case <-ctx.Done():
		p.leave(w)
		return nil, reject(codes.QueueAbandoned, 0, "caller went away while the request waited")
	case <-deadline:
		p.leave(w)
		return nil, reject(codes.DeadlineTooShort, 0, "deadline passed in the queue")
	}
}
