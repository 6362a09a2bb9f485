package main

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/fleet"
)

const (
	regions        = 2
	zonesPerRegion = 2
	zones          = regions * zonesPerRegion
	// targetsPerHost follows from today's deployments: about 40 targets at 11 hosts.
	targetsPerHost = 4
	startWithin    = time.Minute
	// addressesPerHost are those of steer link, entry link, both administration APIs, callers and relays.
	addressesPerHost = 6
	// logBytes bounds what is shown of the log of a process when a benchmark fails.
	logBytes = 2000
)

var services = []string{"bookings", "records", "statusboard"}

// idle is a store and idle hosts as separate processes, in two regions of two zones.
type idle struct {
	*fleet.Deployment
	b      *testing.B
	client *store.Client
}

// newIdle starts n hosts and waits until all are ready and members of their ownership documents.
func newIdle(b *testing.B, n int) *idle {
	b.Helper()
	binaries, err := fleet.Build(b.TempDir(), "entry", "steer", "teststore")
	assert.NilError(b, err)
	spec := fleet.Spec{
		Regions: []string{"r0", "r1"}, Zones: zonesPerRegion,
		ZoneName: func(region string, z int) string { return fmt.Sprintf("%s-z%d", region, z) },
	}
	f := &idle{Deployment: fleet.New(b, binaries, spec, fleet.WithLogLevel("error"), fleet.WithFailureLog(logBytes)), b: b}
	f.client = store.NewClient(f.Store.Address)
	b.Cleanup(f.client.Close)
	f.change(n, 0)
	f.place(n)
	for _, h := range f.Hosts {
		f.StartHost(h)
	}
	f.awaitReady(f.Hosts)
	return f
}

// place spreads n hosts over the zones in turn; each knows the two after it.
func (f *idle) place(n int) {
	names := f.Spec.ZoneNames()
	for i := range n {
		zone := i % zones
		a := fleet.FreeAddresses(f.b, fleet.NewLoopbackIP(), addressesPerHost)
		f.Hosts = append(f.Hosts, &fleet.Host{
			SteerLink: a[0], EntryLink: a[1], EntryAdmin: a[2], SteerAdmin: a[3], CallerAddress: a[4], RelayAddress: a[5],
			Name: fmt.Sprintf("%s-%03d", names[zone], i/zones), Region: f.Spec.Regions[zone/zonesPerRegion], Zone: names[zone],
		})
	}
	for i, h := range f.Hosts {
		h.Peers = []string{f.Hosts[(i+1)%n].SteerLink, f.Hosts[(i+2)%n].SteerLink}
	}
}

// awaitReady waits until all processes are ready, all given hosts are members and no object is left to hand out.
func (f *idle) awaitReady(nodes []*fleet.Host) time.Duration {
	f.b.Helper()
	return fleet.Eventually(f.b, startWithin, func() error {
		for _, h := range nodes {
			for name, admin := range map[string]string{"entry": h.EntryAdmin, "steer": h.SteerAdmin} {
				if err := fleet.GetContext(f.b.Context(), "http://"+admin+"/readyz", nil); err != nil {
					return fmt.Errorf("%s of %s: %w", name, h.Name, err)
				}
			}
			d := f.document(h.Region)
			if _, member := d.Members[h.Name]; !member || len(d.Objects) == 0 {
				return fmt.Errorf("%s is no member", h.Name)
			}
		}
		return nil
	})
}

// document is an ownership document of which only the sizes matter.
type document struct {
	Members map[string]json.RawMessage `json:"members"`
	Objects map[string]json.RawMessage `json:"objects"`
	size    int
}

func (f *idle) document(region string) document {
	f.b.Helper()
	var d document
	o, err := f.client.Get(context.Background(), core.KeyOwnershipPrefix+region)
	if err == nil {
		assert.NilError(f.b, json.Unmarshal(o.Value, &d))
		d.size = len(o.Value)
	}
	return d
}

// change makes a tree for n hosts the next revision; the deadline tells the revisions apart. It returns the revision
// and the size of the tree.
func (f *idle) change(n int, round int) (int64, int) {
	f.b.Helper()
	tree := f.tree(n)
	deadline := int64(2000 + round)
	tree.Policy.DeadlineMs = &deadline
	content, err := config.Encode(tree)
	assert.NilError(f.b, err)
	return f.Apply(tree), len(content)
}

// inForce returns an error unless all n hosts answer and have at least revision in force.
func (f *idle) inForce(n int, revision int64) error {
	var status core.FleetStatus
	if err := fleet.GetContext(f.b.Context(), "http://"+f.Hosts[0].SteerAdmin+"/v1/status", &status); err != nil {
		return err
	}
	for _, h := range status.Hosts {
		if !h.Answered {
			return fmt.Errorf("%s does not answer", h.Host)
		}
	}
	if len(status.Hosts) != n || status.LowestRevision < revision {
		return fmt.Errorf("%d hosts, lowest revision %d", len(status.Hosts), status.LowestRevision)
	}
	return nil
}

// tree returns settings for n hosts.
func (f *idle) tree(n int) core.Settings {
	tree := f.Spec.Settings(nil)
	tree.Deployment = "capacity"
	for _, l := range tree.Links {
		for _, service := range services {
			tree.Shifts = append(tree.Shifts, core.ShiftSettings{From: l.From, To: l.To, Service: service, RequestsPerSecond: 10})
		}
	}
	for _, service := range services {
		tree.Services[service] = core.ServiceSettings{Targets: map[string]core.TargetSettings{}}
	}
	names := f.Spec.ZoneNames()
	for i := range targetsPerHost * n {
		service := services[i%len(services)]
		// Nothing listens there; an idle fleet connects to no target.
		address := fmt.Sprintf("127.2.%d.%d:9", i/250, i%250+1)
		tree.Services[service].Targets[fmt.Sprintf("%s-%04d", service, i)] = core.TargetSettings{
			Address: address, Connections: 360, Slots: 6, Zone: names[i%zones],
		}
	}
	return tree
}
