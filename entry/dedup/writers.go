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
	// maxWriters bounds the links that a process keeps to writers: each link costs a heartbeat every 250 ms, and the
	// store region can have more than a hundred hosts.
	maxWriters = 4
	// avoidFor is how long a writer that did not respond is not used; a dead link is detected after 1 s.
	avoidFor = time.Second
)

// writers chooses the preferred writer of each shard from a few hosts of the store region by rendezvous hashing.
type writers struct {
	// avoidedSince holds, by link address, when a writer last did not respond.
	avoidedSince map[string]core.Instant
	config       ForwarderConfig
	// connected holds the addresses of the links that were opened to writers.
	connected  map[string]bool
	hosts      []core.Host
	mu         sync.Mutex
	region     string
	candidates []core.Host
}

func newWriters(config ForwarderConfig) *writers {
	return &writers{avoidedSince: map[string]core.Instant{}, config: config, connected: map[string]bool{}}
}

// avoid excludes a writer for avoidFor and reports whether it was in use until now.
func (w *writers) avoid(host core.Host) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.config.Timer.Now()
	since, avoided := w.avoidedSince[host.LinkAddress]
	w.avoidedSince[host.LinkAddress] = now
	return !avoided || now.Sub(since) > avoidFor
}

// preferred returns the preferred writer for the shard of a request. It returns false if that is this process, or if
// there is none.
func (w *writers) preferred(request core.DedupRequest) (core.Host, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh()
	shard := fmt.Sprint(shardOf(hashOf(request.Service, request.Tenant, request.Key)))
	var best core.Host
	var bestHash []byte
	for _, h := range w.candidates {
		if h.Host != w.config.Host && !w.usable(h) {
			continue
		}
		if hash := hashOf(request.Service, shard, h.Host); bytes.Compare(hash, bestHash) > 0 {
			best, bestHash = h, hash
		}
	}
	return best, bestHash != nil && best.Host != w.config.Host
}

// refresh recomputes the candidates if the hosts or the store region have changed, and closes the links to hosts that no
// longer exist.
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
	w.candidates = slices.DeleteFunc(slices.Clone(hosts), func(h core.Host) bool {
		return h.Region != region || h.State != core.HostReady || h.LinkAddress == ""
	})
	slices.SortFunc(w.candidates, func(a, b core.Host) int {
		return cmp.Or(bytes.Compare(hashOf(a.Host), hashOf(b.Host)), cmp.Compare(a.Host, b.Host))
	})
	w.candidates = w.candidates[:min(len(w.candidates), maxWriters)]
	for address := range w.connected {
		if !slices.ContainsFunc(hosts, func(h core.Host) bool { return h.LinkAddress == address }) {
			w.config.Links.Disconnect(address)
			delete(w.connected, address)
			delete(w.avoidedSince, address)
		}
	}
}

// usable reports whether a call can be sent to a writer. If there is no link to it, it opens one for later calls.
func (w *writers) usable(h core.Host) bool {
	if !w.config.Links.Alive(h.LinkAddress) {
		w.connected[h.LinkAddress] = true
		w.config.Links.Connect(h.LinkAddress)
		return false
	}
	since, avoided := w.avoidedSince[h.LinkAddress]
	return !avoided || w.config.Timer.Now().Sub(since) > avoidFor
}

// sameHosts reports whether two lists of hosts are equal. It returns early for identical slices, because every call to
// preferred compares the lists.
func sameHosts(a, b []core.Host) bool {
	if len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}
