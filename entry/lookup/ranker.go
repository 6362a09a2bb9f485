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

// Errors of a lookup.
const (
	// ErrNoHosts means that no entry host is ready.
	ErrNoHosts = errors.ConstError("no entry host is ready")
	// ErrNotReady means that no settings are in force.
	ErrNotReady = errors.ConstError("no settings in force")
	// ErrUnknownService means that the settings in force have no such service.
	ErrUnknownService = errors.ConstError("unknown service")
)

// refreshInterval is the interval between checks for changed settings, hosts and block maps.
const refreshInterval = 250 * time.Millisecond

// Ranker implements core.Lookuper with rankings that it computes from the settings in force, the known hosts and a table of
// client blocks.
type Ranker struct {
	hosts core.HostView
	log   *zap.Logger
	mu    sync.Mutex
	// rankedHosts and snapshot are the hosts and the settings of the current rankings.
	rankedHosts []core.Host
	settings    core.SettingsSource
	snapshot    *core.Snapshot
	state       atomic.Pointer[state]
	table       *Table
}

// NewRanker returns a ranker with an empty table. Lookup returns ErrNotReady until a Refresh has found settings.
func NewRanker(log *zap.Logger, settings core.SettingsSource, hosts core.HostView) *Ranker {
	return &Ranker{hosts: hosts, log: log, settings: settings, table: newTable(nil)}
}

// Lookup implements core.Lookuper.Lookup; it allocates nothing.
func (r *Ranker) Lookup(service string, client netip.Addr) (core.LookupResponse, error) {
	st := r.state.Load()
	if st == nil {
		return core.LookupResponse{}, ErrNotReady
	}
	rankings, list, err := st.find(service, client)
	if err != nil {
		return core.LookupResponse{}, err
	}
	response := rankings.response
	response.Hosts = list.hosts
	return response, nil
}

// Refresh computes the rankings again if the settings in force or the hosts have changed.
func (r *Ranker) Refresh() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.settings.Current()
	hosts := r.hosts.Hosts()
	if s == nil || s == r.snapshot && slices.Equal(hosts, r.rankedHosts) {
		return nil
	}
	return errors.Trace(r.rank(s, hosts, r.table))
}

// RemoveBlock removes the block of a prefix if there is one, without blocking lookups.
func (r *Ranker) RemoveBlock(prefix netip.Prefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replaceTable(r.table.WithoutBlock(prefix))
}

// Run calls Refresh every refreshInterval until ctx is done and logs its errors.
func (r *Ranker) Run(ctx context.Context, timer core.Timer) {
	u := timer.Subscribe(refreshInterval)
	defer u.Stop()
	for {
		if err := r.Refresh(); err != nil {
			event.LookupRankingFailed.Write(r.log, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-u.C():
		}
	}
}

// SetBlock adds one block or changes its site. It neither blocks lookups nor builds the table again.
func (r *Ranker) SetBlock(b blocks.Block) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, err := r.table.WithBlock(b)
	if err != nil {
		return errors.Trace(err)
	}
	r.replaceTable(t)
	return nil
}

// SetTable replaces the table without blocking lookups. It keeps the rankings if the sites are the same.
func (r *Ranker) SetTable(t *Table) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshot == nil || slices.Equal(t.sites, r.table.sites) {
		r.replaceTable(t)
		return nil
	}
	return errors.Trace(r.rank(r.snapshot, r.rankedHosts, t))
}

// Table returns the table in use.
func (r *Ranker) Table() *Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table
}

// rank computes the rankings for settings, hosts and a table and puts all of them into use.
func (r *Ranker) rank(s *core.Snapshot, hosts []core.Host, t *Table) error {
	st, err := newState(s, hosts, t)
	if err != nil {
		return errors.Annotatef(err, "rank the hosts for revision %d", s.Head.Revision)
	}
	r.state.Store(st)
	r.rankedHosts = slices.Clone(hosts)
	r.snapshot = s
	r.table = t
	return nil
}

// replaceTable puts t into use, which must have the same sites as the table in use.
func (r *Ranker) replaceTable(t *Table) {
	r.table = t
	if st := r.state.Load(); st != nil {
		r.state.Store(&state{services: st.services, table: t})
	}
}
