package agent

import (
	"slices"
	"sync"
	"sync/atomic"

	"ebonyrouter.dev/core"
)

var _ core.HostView = (*Hosts)(nil)

// Hosts holds the latest list of hosts and store status from the steer.
type Hosts struct {
	live         atomic.Pointer[[]core.Host]
	mu           sync.Mutex
	unresponsive atomic.Pointer[[]string]
	update       atomic.Pointer[core.HostsUpdate]
}

// Hosts implements core.HostView.Hosts. It includes suspected hosts, because ownership does not depend on suspicion.
func (h *Hosts) Hosts() []core.Host {
	if update := h.update.Load(); update != nil {
		return update.Hosts
	}
	return nil
}

// Live returns the view for lookups. It excludes suspected and starting hosts, and hosts of the region whose entry process
// does not respond on its link although their steer does.
func (h *Hosts) Live() core.HostView {
	return liveHosts{h}
}

// setUnresponsive replaces the names of the neighbours whose entry processes do not respond.
func (h *Hosts) setUnresponsive(names []string) {
	if old := h.unresponsive.Swap(&names); old == nil || !slices.Equal(*old, names) {
		h.refresh()
	}
}

// Set replaces the list of hosts; update must not be modified afterwards.
func (h *Hosts) Set(update core.HostsUpdate) {
	h.update.Store(&update)
	h.refresh()
}

// StoreDown reports whether the store was unavailable according to the last update of the steer.
func (h *Hosts) StoreDown() bool {
	update := h.update.Load()
	return update != nil && update.StoreDown
}

// refresh recomputes the live hosts. An unchanged list keeps the previous slice.
func (h *Hosts) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	update := h.update.Load()
	if update == nil {
		return
	}
	var unresponsive []string
	if names := h.unresponsive.Load(); names != nil {
		unresponsive = *names
	}
	live := slices.DeleteFunc(slices.Clone(update.Hosts), func(host core.Host) bool {
		return slices.Contains(update.Suspected, host.Host) || slices.Contains(unresponsive, host.Host) ||
			host.State == core.HostStarting
	})
	if old := h.live.Load(); old == nil || !slices.Equal(*old, live) {
		h.live.Store(&live)
	}
}

// liveHosts is the view of the live hosts.
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
