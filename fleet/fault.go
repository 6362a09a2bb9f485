package fleet

import (
	"context"
	"net/http"
	"time"
)

// Isolate changes the paths between a host and all others, but not the one to the store.
func (d *Deployment) Isolate(h *Host, w Path) {
	for _, other := range d.Hosts {
		if other != h {
			d.Network.Set(h.Name, other.Name, w)
		}
	}
}

// Order changes the behaviour of targets; target is an address or "all", and behaviour is the JSON of the stand-in.
func (d *Deployment) Order(service, target, behaviour string) {
	d.T.Helper()
	_, err := send(context.Background(), http.MethodPost, "http://"+d.control[service]+"/order/"+target, behaviour)
	check(d.T, err)
}

// Part changes all paths between two regions; the paths of the hosts to the store stay as they are.
func (d *Deployment) Part(a, b string, w Path) {
	for _, x := range d.in(a) {
		for _, y := range d.in(b) {
			d.Network.Set(x.Name, y.Name, w)
		}
	}
}

// Passed returns the bytes that went from one region to another.
func (d *Deployment) Passed(from, to string) int64 {
	sum := int64(0)
	for _, x := range d.in(from) {
		for _, y := range d.in(to) {
			sum += d.Network.Passed(x.Name, y.Name)
		}
	}
	return sum
}

// setLatency gives the network the one-way latencies of pulot with varying delay and connections that stall for the time
// in which a lost packet is sent again.
func (d *Deployment) setLatency() {
	const zone, region = 4 * time.Millisecond, remoteOneWayMs * time.Millisecond
	for _, x := range d.Hosts {
		d.Network.Set(CallersName, x.Name, Path{Delay: 8 * time.Millisecond, Jitter: 4 * time.Millisecond})
		d.Network.Set(x.Name, StoreName, Path{Delay: time.Millisecond})
		if x.Region != d.Spec.Regions[0] {
			d.Network.Set(x.Name, StoreName, Path{Delay: region})
		}
		for _, y := range d.Hosts {
			switch {
			case x.Region != y.Region:
				d.Network.SetOne(x.Name, y.Name, Path{
					Delay: region, Jitter: 25 * time.Millisecond, Stall: 220 * time.Millisecond, StallEach: 100,
				})
			case x.Zone != y.Zone:
				d.Network.SetOne(x.Name, y.Name, Path{
					Delay: zone, Jitter: zone, Stall: 200 * time.Millisecond, StallEach: 200,
				})
			}
		}
	}
}

// targetPaths returns the addresses of the targets for the hosts.
func (d *Deployment) targetPaths() map[string][]string {
	if !d.Spec.TargetPaths {
		return d.Targets
	}
	paths := map[string][]string{}
	for service, addresses := range d.Targets {
		for _, a := range addresses {
			paths[service] = append(paths[service], d.Network.Expose(a, a))
		}
	}
	return paths
}
