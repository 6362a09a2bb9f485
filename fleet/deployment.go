package fleet

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

const (
	// addressesPerHost is the number of addresses on which the two processes of a host listen.
	addressesPerHost = 6
	// peersPerHost is the number of steers that a host knows from the start.
	peersPerHost = 2
)

// Deployment is a running set of processes: the store, the upstreams of each service and two processes per host.
type Deployment struct {
	Hosts []*Host
	// Network is nil unless the Spec asks for one.
	Network *Network
	// Settings are those that Apply made the newest revision.
	Settings core.Settings
	Spec     Spec
	Store    *Store
	T        T
	// Targets holds the addresses of the targets by service.
	Targets map[string][]string

	binaries   Binaries
	control    map[string]string
	failureLog int
	logLevel   string
	// storePath is the address of the store for the hosts.
	storePath string
}

// Deploy starts a deployment and waits until every target has a usable owner.
func Deploy(t T, binaries Binaries, s Spec, options ...Option) *Deployment {
	t.Helper()
	d := New(t, binaries, s, options...)
	for _, service := range s.Services {
		d.startUpstream(service)
	}
	d.Apply(s.Tree(d.targetPaths()))
	d.PlaceHosts()
	for _, h := range d.Hosts {
		d.StartHost(h)
	}
	d.AwaitOwners()
	return d
}

// New starts the store of a deployment that has no hosts, no upstreams and no settings yet.
func New(t T, binaries Binaries, s Spec, options ...Option) *Deployment {
	t.Helper()
	d := &Deployment{
		Spec: s, Store: StartStore(t, binaries), T: t, Targets: map[string][]string{}, binaries: binaries, control: map[string]string{},
	}
	for _, o := range options {
		o(d)
	}
	d.showOutput(d.Store.Process)
	d.storePath = d.Store.Address
	if s.Network {
		d.Network = NewNetwork(t)
		d.storePath = d.Network.Expose(StoreName, d.Store.Address)
	}
	return d
}

// AllAt returns an error unless both processes of every host have a revision in force by their own account.
func (d *Deployment) AllAt(revision int64) error {
	for _, h := range d.Hosts {
		for _, address := range []string{h.EntryAdmin, h.SteerAdmin} {
			n, err := Gauge(address, "ebony_revision")
			if err != nil {
				return errors.Annotatef(err, "%s at %s", h.Name, address)
			}
			if int64(n) != revision {
				return errors.Errorf("%s at %s: revision %v", h.Name, address, n)
			}
		}
	}
	return nil
}

// Apply makes a tree the next revision and returns its number.
func (d *Deployment) Apply(tree core.Settings) int64 {
	d.T.Helper()
	revision := d.Store.Apply(tree)
	d.Settings = tree
	return revision
}

// ApplyDeadline changes the deadline of all services, in milliseconds, and returns the revision.
func (d *Deployment) ApplyDeadline(ms int64) int64 {
	d.T.Helper()
	tree := d.Settings
	tree.Policy.DeadlineMs = &ms
	return d.Apply(tree)
}

// InForce returns an error unless every host has a revision, or a later one, in force by the account of the first host.
func (d *Deployment) InForce(revision int64) error {
	status, err := d.Status(d.Hosts[0])
	if err != nil {
		return err
	}
	for _, h := range status.Hosts {
		if !h.Answered || h.Entry.Revision < revision || h.SteerRevision < revision {
			return errors.Errorf("host %s: entry %d, steer %d, wanted %d", h.Host, h.Entry.Revision, h.SteerRevision, revision)
		}
	}
	return nil
}

// PlaceHosts gives names and addresses to the hosts of all zones without starting them.
func (d *Deployment) PlaceHosts() {
	d.T.Helper()
	for _, region := range d.Spec.Regions {
		for z := range d.Spec.Zones {
			for n := range d.Spec.HostsPerZone {
				zone := d.Spec.zoneName(region, z)
				d.Hosts = append(d.Hosts, d.placeHost(fmt.Sprintf("%s-%d", zone, n), region, zone))
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

// StartSteer starts the steer of a host.
func (d *Deployment) StartSteer(h *Host) {
	d.T.Helper()
	h.Steer = d.start(h, "steer", h.SteerAdmin, h.steerArgs())
}

// Status returns the state of all hosts by the account of one.
func (d *Deployment) Status(h *Host) (core.FleetStatus, error) {
	var status core.FleetStatus
	err := Get("http://"+h.SteerAdmin+"/v1/status", &status)
	return status, err
}

// in returns the hosts of a region.
func (d *Deployment) in(region string) []*Host {
	var hosts []*Host
	for _, h := range d.Hosts {
		if h.Region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (d *Deployment) placeHost(name, region, zone string) *Host {
	d.T.Helper()
	h := &Host{Name: name, Region: region, Zone: zone}
	if d.Network == nil {
		h.Caller, h.EntryLink, h.Relay, h.SteerLink = FreeAddress(d.T), FreeAddress(d.T), FreeAddress(d.T), FreeAddress(d.T)
		h.EntryAdmin, h.SteerAdmin = FreeAddress(d.T), FreeAddress(d.T)
		return h
	}
	h.ListenIP, h.SourceIP = OwnIP(), d.Network.Join(name)
	a := FreeAddresses(d.T, h.ListenIP, addressesPerHost)
	h.EntryAdmin, h.SteerAdmin = a[0], a[1]
	h.Caller, h.EntryLink = d.Network.Expose(name, a[2]), d.Network.Expose(name, a[3])
	h.Relay, h.SteerLink = d.Network.Expose(name, a[4]), d.Network.Expose(name, a[5])
	return h
}

// showOutput shows the output of a process when the test fails, if an option asks for it.
func (d *Deployment) showOutput(p *Process) {
	if d.failureLog == 0 {
		return
	}
	d.T.Cleanup(func() {
		if text := p.lastOutput(d.failureLog); d.T.Failed() && text != "" {
			d.T.Logf("%s: %s", p.name, text)
		}
	})
}

// start starts one process of a host.
func (d *Deployment) start(h *Host, program, admin string, args []string) *Process {
	d.T.Helper()
	args = append(append(args, h.sharedArgs()...), "-store", d.storePath, "-token", Token)
	if d.logLevel != "" {
		args = append(args, "-log-level", d.logLevel)
	}
	p := d.binaries.Start(d.T, program+" "+h.Name, program, args...)
	p.Admin = admin
	d.showOutput(p)
	return p
}

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
	d.control[s.Name] = started.Control
	d.Targets[s.Name] = started.Targets
}
