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
	// targetsPerHost matches the present deployments, which have about 40 targets on 11 hosts.
	targetsPerHost = 4
	readyTimeout   = time.Minute
	// addressesPerHost counts the addresses of the steer and entry links, both administration APIs, callers and relays.
	addressesPerHost = 6
	// failureLogBytes limits the part of the log of each process that is shown if a benchmark fails.
	failureLogBytes = 2000
)

var services = []string{"bookings", "records", "statusboard"}

// idleFleet is a store and hosts without callers as separate processes, in two regions of two zones each.
type idleFleet struct {
	*fleet.Deployment
	b      *testing.B
	client *store.Client
}

// newIdleFleet starts n hosts and waits until all of them are ready and members in the ownership document of their region.
func newIdleFleet(b *testing.B, n int) *idleFleet {
	b.Helper()
	binaries, err := fleet.Build(b.TempDir(), "entry", "steer", "teststore")
	assert.NilError(b, err)
	spec := fleet.Spec{
		Regions: []string{"r0", "r1"}, Zones: zonesPerRegion,
		ZoneName: func(region string, z int) string { return fmt.Sprintf("%s-z%d", region, z) },
	}
	f := &idleFleet{Deployment: fleet.New(b, binaries, spec, fleet.WithLogLevel("error"), fleet.WithFailureLog(failureLogBytes)), b: b}
	f.client = store.NewClient(f.Store.Address)
	b.Cleanup(f.client.Close)
	f.applyChange(n, 0)
	f.addHosts(n)
	for _, h := range f.Hosts {
		f.StartHost(h)
	}
	f.awaitReady(f.Hosts)
	return f
}

// addHosts adds n hosts, assigned to the zones in turn. The peers of each host are the next two hosts.
func (f *idleFleet) addHosts(n int) {
	names := f.Spec.ZoneNames()
	for i := range n {
		zone := i % zones
		addresses := fleet.FreeAddresses(f.b, fleet.NewLoopbackIP(), addressesPerHost)
		f.Hosts = append(f.Hosts, &fleet.Host{
			SteerLink: addresses[0], EntryLink: addresses[1], EntryAdmin: addresses[2], SteerAdmin: addresses[3], CallerAddress: addresses[4],
			RelayAddress: addresses[5],
			Name:         fmt.Sprintf("%s-%03d", names[zone], i/zones), Region: f.Spec.Regions[zone/zonesPerRegion], Zone: names[zone],
		})
	}
	for i, h := range f.Hosts {
		h.Peers = []string{f.Hosts[(i+1)%n].SteerLink, f.Hosts[(i+2)%n].SteerLink}
	}
}

// awaitReady waits until both processes of each host are ready, each host is a member in the ownership document of its region
// and this document has objects. It returns the time waited.
func (f *idleFleet) awaitReady(hosts []*fleet.Host) time.Duration {
	f.b.Helper()
	return fleet.Eventually(f.b, readyTimeout, func() error {
		for _, h := range hosts {
			for name, admin := range map[string]string{"entry": h.EntryAdmin, "steer": h.SteerAdmin} {
				if err := fleet.GetContext(f.b.Context(), "http://"+admin+"/readyz", nil); err != nil {
					return fmt.Errorf("%s of %s: %w", name, h.Name, err)
				}
			}
			d := f.document(h.Region)
			if _, member := d.Members[h.Name]; !member || len(d.Objects) == 0 {
				return fmt.Errorf("%s is not a member yet, or its region has no objects", h.Name)
			}
		}
		return nil
	})
}

// document is an ownership document, decoded only as far as its sizes require; size is its length in bytes.
type document struct {
	Members map[string]json.RawMessage `json:"members"`
	Objects map[string]json.RawMessage `json:"objects"`
	size    int
}

// document reads the ownership document of a region; it is empty if it cannot be read.
func (f *idleFleet) document(region string) document {
	f.b.Helper()
	var d document
	o, err := f.client.Get(context.Background(), core.KeyOwnershipPrefix+region)
	if err == nil {
		assert.NilError(f.b, json.Unmarshal(o.Value, &d))
		d.size = len(o.Value)
	}
	return d
}

// applyChange applies settings for n hosts as the next revision. Their deadline depends on round, so that successive revisions
// differ. It returns the revision and the size of the settings in bytes.
func (f *idleFleet) applyChange(n int, round int) (int64, int) {
	f.b.Helper()
	settings := f.settings(n)
	deadline := int64(2000 + round)
	settings.Policy.DeadlineMs = &deadline
	content, err := config.Encode(settings)
	assert.NilError(f.b, err)
	return f.Apply(settings), len(content)
}

// checkInForce returns an error unless all n hosts respond and have revision or a later one in force.
func (f *idleFleet) checkInForce(n int, revision int64) error {
	var status core.FleetStatus
	if err := fleet.GetContext(f.b.Context(), "http://"+f.Hosts[0].SteerAdmin+"/v1/status", &status); err != nil {
		return err
	}
	for _, h := range status.Hosts {
		if !h.Answered {
			return fmt.Errorf("%s does not respond", h.Host)
		}
	}
	if len(status.Hosts) != n || status.LowestRevision < revision {
		return fmt.Errorf("%d hosts, lowest revision %d", len(status.Hosts), status.LowestRevision)
	}
	return nil
}

// settings returns settings for n hosts.
func (f *idleFleet) settings(n int) core.Settings {
	settings := f.Spec.Settings(nil)
	settings.Deployment = "capacity"
	for _, l := range settings.Links {
		for _, service := range services {
			settings.Shifts = append(settings.Shifts, core.ShiftSettings{From: l.From, To: l.To, Service: service, RequestsPerSecond: 10})
		}
	}
	for _, service := range services {
		settings.Services[service] = core.ServiceSettings{Targets: map[string]core.TargetSettings{}}
	}
	names := f.Spec.ZoneNames()
	for i := range targetsPerHost * n {
		service := services[i%len(services)]
		// Nothing listens on these addresses; without callers the hosts connect to no target.
		address := fmt.Sprintf("127.2.%d.%d:9", i/250, i%250+1)
		settings.Services[service].Targets[fmt.Sprintf("%s-%04d", service, i)] = core.TargetSettings{
			Address: address, Connections: 360, Slots: 6, Zone: names[i%zones],
		}
	}
	return settings
}
