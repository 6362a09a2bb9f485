package fleet

import (
	"context"
	"net/http"
	"time"
)

// SetHostPaths sets the paths between a host and all other hosts in both directions. The paths to the store do not change.
func (d *Deployment) SetHostPaths(h *Host, p Path) {
	for _, other := range d.Hosts {
		if other != h {
			d.Network.SetPaths(h.Name, other.Name, p)
		}
	}
}

// SetBehaviour changes the behaviour of targets. The target is an address or "all"; behaviour is the JSON document of the test
// upstream's control API.
func (d *Deployment) SetBehaviour(service, target, behaviour string) {
	d.T.Helper()
	_, err := send(context.Background(), http.MethodPost, "http://"+d.controlAddresses[service]+"/order/"+target, behaviour)
	check(d.T, err)
}

// SetRegionPaths sets all paths between the hosts of two regions in both directions. The paths to the store do not change.
func (d *Deployment) SetRegionPaths(a, b string, p Path) {
	for _, x := range d.regionHosts(a) {
		for _, y := range d.regionHosts(b) {
			d.Network.SetPaths(x.Name, y.Name, p)
		}
	}
}

// BytesForwarded returns the number of bytes that the network has forwarded from one region to another.
func (d *Deployment) BytesForwarded(from, to string) int64 {
	sum := int64(0)
	for _, x := range d.regionHosts(from) {
		for _, y := range d.regionHosts(to) {
			sum += d.Network.BytesForwarded(x.Name, y.Name)
		}
	}
	return sum
}

// setLatency gives the network the one-way latencies of the deployment pulot with jitter, and stalls connections now and
// then for the time that the retransmission of a lost packet takes.
func (d *Deployment) setLatency() {
	const zone, region = 4 * time.Millisecond, pulotOneWayMs * time.Millisecond
	for _, x := range d.Hosts {
		d.Network.SetPaths(CallersName, x.Name, Path{Delay: 8 * time.Millisecond, Jitter: 4 * time.Millisecond})
		d.Network.SetPaths(x.Name, StoreName, Path{Delay: time.Millisecond})
		if x.Region != d.Spec.Regions[0] {
			d.Network.SetPaths(x.Name, StoreName, Path{Delay: region})
		}
		for _, y := range d.Hosts {
			switch {
			case x.Region != y.Region:
				d.Network.SetPath(x.Name, y.Name, Path{
					Delay: region, Jitter: 25 * time.Millisecond, Stall: 220 * time.Millisecond, ChunksPerStall: 100,
				})
			case x.Zone != y.Zone:
				d.Network.SetPath(x.Name, y.Name, Path{
					Delay: zone, Jitter: zone, Stall: 200 * time.Millisecond, ChunksPerStall: 200,
				})
			}
		}
	}
}

// targetAddresses returns the addresses at which hosts reach the targets of each service, through the network if
// Spec.TargetPaths is set.
func (d *Deployment) targetAddresses() map[string][]string {
	if !d.Spec.TargetPaths {
		return d.Targets
	}
	exposed := map[string][]string{}
	for service, addresses := range d.Targets {
		for _, a := range addresses {
			exposed[service] = append(exposed[service], d.Network.Expose(a, a))
		}
	}
	return exposed
}
