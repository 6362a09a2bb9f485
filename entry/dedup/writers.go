package dedup

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// maxWriters bounds the links that a process keeps for its records: each link costs a heartbeat every 250 ms, and
	// the region of the store can have more than a hundred hosts.
	maxWriters = 4
	// avoidFor is how long a writer that did not answer is passed over; a dead link is found after 1 s.
	avoidFor = time.Second
)

// writers chooses the preferred writer of each shard among a few hosts of the region of the store.
type writers struct {
	avoided   map[string]core.Instant
	config    RemoteConfig
	connected map[string]bool
	hosts     []core.Host
	mu        sync.Mutex
	region    string
	writers   []core.Host
}

func newWriters(config RemoteConfig) *writers {
	return &writers{avoided: map[string]core.Instant{}, config: config, connected: map[string]bool{}}
}

// avoid passes over a writer for a while and reports whether it was in use until now.
func (w *writers) avoid(host core.Host) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.config.Timer.Now()
	at, avoided := w.avoided[host.LinkAddress]
	w.avoided[host.LinkAddress] = now
	return !avoided || now.Sub(at) > avoidFor
}

// find returns the preferred writer of the shard of a request, or false if it is this process or if there is none.
func (w *writers) find(request core.DedupRequest) (core.Host, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh()
	shard := fmt.Sprint(shardOf(hashOf(request.Service, request.Tenant, request.Key)))
	var best core.Host
	var bestHash []byte
	for _, h := range w.writers {
		if h.Host != w.config.Host && !w.usable(h) {
			continue
		}
		if hash := hashOf(request.Service, shard, h.Host); bytes.Compare(hash, bestHash) > 0 {
			best, bestHash = h, hash
		}
	}
	return best, bestHash != nil && best.Host != w.config.Host
}

// refresh chooses the candidates again if the hosts or the region have changed.
func (w *writers) refresh() {
	region := w.config.Region
	if s := w.config.Settings.Current(); s != nil && s.Settings.StoreRegion != "" {
		region = s.Settings.StoreRegion
	}
	hosts := w.config.Hosts.Hosts()
	if region == w.region && sameHosts(hosts, w.hosts) {
		return
	}
	w.hosts, w.region = hosts, region
	w.writers = slices.DeleteFunc(slices.Clone(hosts), func(h core.Host) bool {
		return h.Region != region || h.State != core.HostReady || h.LinkAddress == ""
	})
	slices.SortFunc(w.writers, func(a, b core.Host) int {
		return cmp.Or(bytes.Compare(hashOf(a.Host), hashOf(b.Host)), cmp.Compare(a.Host, b.Host))
	})
	w.writers = w.writers[:min(len(w.writers), maxWriters)]
	for address := range w.connected {
		if !slices.ContainsFunc(hosts, func(h core.Host) bool { return h.LinkAddress == address }) {
			w.config.Links.Disconnect(address)
			delete(w.connected, address)
			delete(w.avoided, address)
		}
	}
}

// usable reports whether a writer can be asked; if there is no link to it, one is opened for later calls.
func (w *writers) usable(h core.Host) bool {
	if !w.config.Links.Alive(h.LinkAddress) {
		w.connected[h.LinkAddress] = true
		w.config.Links.Connect(h.LinkAddress)
		return false
	}
	at, avoided := w.avoided[h.LinkAddress]
	return !avoided || w.config.Timer.Now().Sub(at) > avoidFor
}

// sameHosts reports whether two views are equal; it is fast for the same slice, which each call of find compares.
func sameHosts(a, b []core.Host) bool {
	if len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}
