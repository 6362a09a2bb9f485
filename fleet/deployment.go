package fleet

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

const (
	// addressesPerHost is the total number of addresses on which the two processes of a host listen.
	addressesPerHost = 6
	// peersPerHost is the number of steer processes that a host is configured with as its initial peers.
	peersPerHost = 2
)

// Deployment is a set of running processes: the test store, one test upstream per service, and an entry and a steer
// process per host.
type Deployment struct {
	Hosts []*Host
	// Network is the test network, or nil if Spec.Network is false.
	Network *Network
	// Settings holds the settings that Apply stored last.
	Settings core.Settings
	Spec     Spec
	Store    *Store
	T        T
	// Targets holds the addresses of the targets of each service.
	Targets map[string][]string

	binaries Binaries
	// controlAddresses holds the address of the control API of each service's test upstream.
	controlAddresses map[string]string
	// failureLogBytes is the number of bytes of process output that a failed test shows; 0 shows none.
	failureLogBytes int
	logLevel        string
	// storeAddress is the address at which hosts reach the store, through the network if there is one.
	storeAddress string
}

// Deploy starts a deployment and waits until every target has an owner, as AwaitOwners does. The test ends if that takes too long.
func Deploy(t T, binaries Binaries, s Spec, options ...Option) *Deployment {
	t.Helper()
	d := New(t, binaries, s, options...)
	for _, service := range s.Services {
		d.startUpstream(service)
	}
	d.Apply(s.Settings(d.targetAddresses()))
	d.AddHosts()
	for _, h := range d.Hosts {
		d.StartHost(h)
	}
	d.AwaitOwners()
	return d
}

// New returns a deployment in which only the store runs. It has no hosts, upstreams or settings yet.
func New(t T, binaries Binaries, s Spec, options ...Option) *Deployment {
	t.Helper()
	d := &Deployment{
		Spec: s, Store: StartStore(t, binaries), T: t, Targets: map[string][]string{}, binaries: binaries,
		controlAddresses: map[string]string{},
	}
	for _, o := range options {
		o(d)
	}
	d.logOutputOnFailure(d.Store.Process)
	d.storeAddress = d.Store.Address
	if s.Network {
		d.Network = NewNetwork(t)
		d.storeAddress = d.Network.Expose(StoreName, d.Store.Address)
	}
	return d
}

// CheckMetricRevision returns an error unless the metrics of both processes of every host report that revision is in force.
func (d *Deployment) CheckMetricRevision(revision int64) error {
	for _, h := range d.Hosts {
		for _, address := range []string{h.EntryAdmin, h.SteerAdmin} {
			n, err := Metric(address, "ebony_revision")
			if err != nil {
				return errors.Annotatef(err, "host %s, process at %s", h.Name, address)
			}
			if int64(n) != revision {
				return errors.Errorf("host %s, process at %s: unexpected revision %v in force", h.Name, address, n)
			}
		}
	}
	return nil
}

// Apply stores settings as the next revision and returns its number.
func (d *Deployment) Apply(settings core.Settings) int64 {
	d.T.Helper()
	revision := d.Store.Apply(settings)
	d.Settings = settings
	return revision
}

// ApplyDeadline sets the default deadline of all services in milliseconds and returns the new revision.
func (d *Deployment) ApplyDeadline(ms int64) int64 {
	d.T.Helper()
	settings := d.Settings
	settings.Policy.DeadlineMs = &ms
	return d.Apply(settings)
}

// CheckStatusRevision returns an error unless the first host reports that revision, or a later one, is in force at
// every host.
func (d *Deployment) CheckStatusRevision(revision int64) error {
	status, err := d.Status(d.Hosts[0])
	if err != nil {
		return err
	}
	for _, h := range status.Hosts {
		if !h.Answered || h.Entry.Revision < revision || h.SteerRevision < revision {
			return errors.Errorf("host %s: entry at revision %d, steer at revision %d, want %d",
				h.Host, h.Entry.Revision, h.SteerRevision, revision)
		}
	}
	return nil
}

// AddHosts adds the hosts of all zones with their names and addresses, but does not start them.
func (d *Deployment) AddHosts() {
	d.T.Helper()
	for _, region := range d.Spec.Regions {
		for z := range d.Spec.Zones {
			for n := range d.Spec.HostsPerZone {
				zone := d.Spec.zoneName(region, z)
				d.Hosts = append(d.Hosts, d.newHost(fmt.Sprintf("%s-%d", zone, n), region, zone))
			}
		}
	}
	for _, h := range d.Hosts {
		for _, other := range d.Hosts {
			if other != h && len(h.Peers) < peersPerHost {
				h.Peers = append(h.Peers, other.SteerLink)
			}
		}
	}
	if d.Spec.Latency {
		d.setLatency()
	}
}

// StartEntry starts the entry process of a host.
func (d *Deployment) StartEntry(h *Host) {
	d.T.Helper()
	h.Entry = d.start(h, "entry", h.EntryAdmin, h.entryArgs())
}

// StartHost starts both processes of a host.
func (d *Deployment) StartHost(h *Host) {
	d.T.Helper()
	d.StartSteer(h)
	d.StartEntry(h)
}

// StartSteer starts the steer process of a host.
func (d *Deployment) StartSteer(h *Host) {
	d.T.Helper()
	h.Steer = d.start(h, "steer", h.SteerAdmin, h.steerArgs())
}

// Status returns the state of all hosts as the steer process of h reports it.
func (d *Deployment) Status(h *Host) (core.FleetStatus, error) {
	var status core.FleetStatus
	err := Get("http://"+h.SteerAdmin+"/v1/status", &status)
	return status, err
}

// regionHosts returns the hosts of a region.
func (d *Deployment) regionHosts(region string) []*Host {
	var hosts []*Host
	for _, h := range d.Hosts {
		if h.Region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// newHost returns a host with unused addresses, which other endpoints reach through the network if there is one.
func (d *Deployment) newHost(name, region, zone string) *Host {
	d.T.Helper()
	h := &Host{Name: name, Region: region, Zone: zone}
	if d.Network == nil {
		h.CallerAddress, h.EntryLink, h.RelayAddress, h.SteerLink = FreeAddress(d.T), FreeAddress(d.T), FreeAddress(d.T), FreeAddress(d.T)
		h.EntryAdmin, h.SteerAdmin = FreeAddress(d.T), FreeAddress(d.T)
		return h
	}
	h.ListenIP, h.SourceIP = NewLoopbackIP(), d.Network.AddEndpoint(name)
	a := FreeAddresses(d.T, h.ListenIP, addressesPerHost)
	h.EntryAdmin, h.SteerAdmin = a[0], a[1]
	h.CallerAddress, h.EntryLink = d.Network.Expose(name, a[2]), d.Network.Expose(name, a[3])
	h.RelayAddress, h.SteerLink = d.Network.Expose(name, a[4]), d.Network.Expose(name, a[5])
	return h
}

// logOutputOnFailure logs the last output of a process if the test fails and WithFailureLog is set.
func (d *Deployment) logOutputOnFailure(p *Process) {
	if d.failureLogBytes == 0 {
		return
	}
	d.T.Cleanup(func() {
		if text := p.lastOutput(d.failureLogBytes); d.T.Failed() && text != "" {
			d.T.Logf("%s: %s", p.name, text)
		}
	})
}

// start starts one process of a host and sets the address of its administration API.
func (d *Deployment) start(h *Host, program, admin string, args []string) *Process {
	d.T.Helper()
	args = append(append(args, h.sharedArgs()...), "-store", d.storeAddress, "-token", Token)
	if d.logLevel != "" {
		args = append(args, "-log-level", d.logLevel)
	}
	p := d.binaries.Start(d.T, program+" "+h.Name, program, args...)
	p.AdminAddress = admin
	d.logOutputOnFailure(p)
	return p
}

// startUpstream starts the test upstream of a service and waits until it prints the addresses of its targets and of its control
// API.
func (d *Deployment) startUpstream(s ServiceSpec) {
	d.T.Helper()
	ports := strings.TrimSuffix(strings.Repeat("0,", s.Targets), ",")
	args := []string{"-ports", ports, "-slots", fmt.Sprint(s.Slots), "-service-ms", fmt.Sprint(s.ServiceMs)}
	if d.Spec.BodyBytes > 0 {
		args = append(args, "-body-bytes", fmt.Sprint(d.Spec.BodyBytes))
	}
	p := d.binaries.Start(d.T, "testup "+s.Name, "testup", args...)
	var started struct {
		Control string   `json:"control"`
		Targets []string `json:"targets"`
	}
	Eventually(d.T, ReadyTimeout, func() error { return json.Unmarshal([]byte(p.Output()), &started) })
	d.controlAddresses[s.Name] = started.Control
	d.Targets[s.Name] = started.Targets
}
