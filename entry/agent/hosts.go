package agent

import (
	"slices"
	"sync"
	"sync/atomic"

	"ebonyrouter.dev/core"
)

var _ core.HostView = (*Hosts)(nil)

// Hosts is what the steer last sent about the hosts and the store.
type Hosts struct {
	live   atomic.Pointer[[]core.Host]
	mu     sync.Mutex
	silent atomic.Pointer[[]string]
	update atomic.Pointer[core.HostsUpdate]
}

// Hosts implements core.HostView.Hosts; suspected hosts are included, because ownership does not depend on suspicion.
func (h *Hosts) Hosts() []core.Host {
	if update := h.update.Load(); update != nil {
		return update.Hosts
	}
	return nil
}

// Live returns the view for look-ups: without suspected hosts, and without hosts of the region whose entry process
// does not answer on its link although their steer does.
func (h *Hosts) Live() core.HostView {
	return liveHosts{h}
}

// setSilent replaces the names of the neighbours whose entry processes do not answer.
func (h *Hosts) setSilent(names []string) {
	if old := h.silent.Swap(&names); old == nil || !slices.Equal(*old, names) {
		h.refresh()
	}
}

// Set replaces the update, which must not be modified afterwards.
func (h *Hosts) Set(update core.HostsUpdate) {
	h.update.Store(&update)
	h.refresh()
}

// StoreDown reports whether the steer last found the store unavailable.
func (h *Hosts) StoreDown() bool {
	update := h.update.Load()
	return update != nil && update.StoreDown
}

// refresh computes the live hosts again.
func (h *Hosts) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	update := h.update.Load()
	if update == nil {
		return
	}
	var silent []string
	if names := h.silent.Load(); names != nil {
		silent = *names
	}
	live := slices.DeleteFunc(slices.Clone(update.Hosts), func(host core.Host) bool {
		return slices.Contains(update.Suspected, host.Host) || slices.Contains(silent, host.Host) || host.State == core.HostStarting
	})
	if old := h.live.Load(); old == nil || !slices.Equal(*old, live) {
		h.live.Store(&live)
	}
}

type liveHosts struct {
	hosts *Hosts
}

// Hosts implements core.HostView.Hosts.
func (l liveHosts) Hosts() []core.Host {
	if live := l.hosts.live.Load(); live != nil {
		return *live
	}
	return nil
}
