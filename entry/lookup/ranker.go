package lookup

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/event"
)

var _ core.Lookuper = (*Ranker)(nil)

// Errors of a look-up.
const (
	// ErrNoHosts means that no entry host is ready.
	ErrNoHosts = errors.ConstError("no entry host is ready")
	// ErrNotReady means that no settings are in force.
	ErrNotReady = errors.ConstError("no settings in force")
	// ErrUnknownService means that the settings in force have no such service.
	ErrUnknownService = errors.ConstError("unknown service")
)

const refreshPeriod = 250 * time.Millisecond

// Ranker is a core.Lookuper over the settings in force, the known hosts and a table of client blocks.
type Ranker struct {
	hosts    core.HostView
	log      *zap.Logger
	mu       sync.Mutex
	ranked   []core.Host
	settings core.SettingsSource
	snapshot *core.Snapshot
	state    atomic.Pointer[state]
	table    *Table
}

// New returns a ranker with an empty table that ranks nothing before its first Refresh.
func New(log *zap.Logger, settings core.SettingsSource, hosts core.HostView) *Ranker {
	return &Ranker{hosts: hosts, log: log, settings: settings, table: newTable(nil)}
}

// Lookup implements core.Lookuper.Lookup; it allocates nothing.
func (r *Ranker) Lookup(service string, client netip.Addr) (core.LookupAnswer, error) {
	x := r.state.Load()
	if x == nil {
		return core.LookupAnswer{}, ErrNotReady
	}
	i, l, err := x.find(service, client)
	if err != nil {
		return core.LookupAnswer{}, err
	}
	answer := i.answer
	answer.Hosts = l.hosts
	return answer, nil
}

// Refresh ranks again if the settings in force or the hosts have changed.
func (r *Ranker) Refresh() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.settings.Current()
	hosts := r.hosts.Hosts()
	if s == nil || s == r.snapshot && slices.Equal(hosts, r.ranked) {
		return nil
	}
	return errors.Trace(r.rank(s, hosts, r.table))
}

// Remove takes one block out of the table without stopping readers.
func (r *Ranker) Remove(prefix netip.Prefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.swap(r.table.Without(prefix))
}

// Run refreshes the ranking until ctx ends.
func (r *Ranker) Run(ctx context.Context, timer core.Timer) {
	u := timer.Subscribe(refreshPeriod)
	defer u.Stop()
	for {
		if err := r.Refresh(); err != nil {
			event.LookupNotRanked.Write(r.log, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-u.C():
		}
	}
}

// Set changes one block of the table without stopping readers or building the table again.
func (r *Ranker) Set(b blocks.Block) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, err := r.table.With(b)
	if err != nil {
		return errors.Trace(err)
	}
	r.swap(t)
	return nil
}

// SetTable replaces the table without stopping readers; the ranking stays if the sites are the same.
func (r *Ranker) SetTable(t *Table) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshot == nil || slices.Equal(t.sites, r.table.sites) {
		r.swap(t)
		return nil
	}
	return errors.Trace(r.rank(r.snapshot, r.ranked, t))
}

// Table returns the table in use.
func (r *Ranker) Table() *Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table
}

func (r *Ranker) rank(s *core.Snapshot, hosts []core.Host, t *Table) error {
	x, err := newState(s, hosts, t)
	if err != nil {
		return errors.Annotatef(err, "ranking revision %d", s.Head.Revision)
	}
	r.state.Store(x)
	r.ranked = slices.Clone(hosts)
	r.snapshot = s
	r.table = t
	return nil
}

// swap uses t, which has the same sites as the table in use.
func (r *Ranker) swap(t *Table) {
	r.table = t
	if x := r.state.Load(); x != nil {
		r.state.Store(&state{services: x.services, table: t})
	}
}
