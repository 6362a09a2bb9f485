package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/soak/stand"
)

const (
	hostName = "apiary.example"
	// workSpread is the largest deviation of a request's duration from the mean.
	workSpread        = 0.15
	readHeaderTimeout = 5 * time.Second
)

// zones maps each availability zone to its region.
var zones = map[string]string{
	"luzon-makati": "luzon", "luzon-pasig": "luzon", "visayas-mandaue": "visayas", "visayas-lapulapu": "visayas",
	"mindanao-lanang": "mindanao", "mindanao-matina": "mindanao",
}

// zoneNames are the availability zones in a fixed order, one of each region in turn.
var zoneNames = []string{"luzon-makati", "visayas-mandaue", "mindanao-lanang", "luzon-pasig", "visayas-lapulapu", "mindanao-matina"}

// service describes a service of the deployment.
type service struct {
	name    string
	targets int
	slots   int
	// work is the mean duration of a request.
	work time.Duration
}

var services = []service{
	{"statusboard", 12, 9, 880 * time.Millisecond},
	{"bookings", 12, 4, 1160 * time.Millisecond},
	{"apiary-records", 14, 9, 2200 * time.Millisecond},
}

// deployment is the store, the targets and the hosts of one run.
type deployment struct {
	hosts   []*host
	options *options
	record  *stand.Record
	store   *stand.Store
	tasks   sync.WaitGroup

	mutex   sync.Mutex
	targets []*stand.Target
	started int
	version int
}

// newDeployment starts the store and the targets, and then the hosts, which run until ctx ends.
func newDeployment(ctx context.Context, o *options) (*deployment, error) {
	d := &deployment{options: o, record: stand.NewRecord(), store: stand.NewStore()}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", o.storeAddress())
	if err != nil {
		return nil, errors.Annotate(err, "store")
	}
	server := &http.Server{Handler: d.store.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	for _, s := range services {
		for n := range s.targets {
			if err := d.startTarget(s, zoneNames[n%len(zoneNames)]); err != nil {
				return nil, err
			}
		}
	}
	if err := d.changeSettings(); err != nil {
		return nil, err
	}
	for n := range o.hosts {
		h, err := newHost(o, n, zoneNames[n%len(zoneNames)])
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
		d.tasks.Go(func() { h.run(ctx) })
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// changeSettings writes a new version of the desired state.
func (d *deployment) changeSettings() error {
	d.mutex.Lock()
	d.version++
	version := d.version
	d.mutex.Unlock()
	var routes, described []map[string]any
	for _, c := range classes {
		routes = append(routes, map[string]any{
			"name": c.name, "host": hostName, "pathPrefix": c.path(), "kind": c.kind(), "timeout": c.deadline.String(), "aim": c.aim.String(),
			"priority": 1, "service": c.service, "maxAttempts": 2 + version%2, "sticky": false, "homeRegions": []string{},
		})
	}
	for _, s := range services {
		described = append(described, map[string]any{"name": s.name, "healthPath": "/health", "maxConns": 360, "coldPerS": 6.1})
	}
	return errors.Trace(d.store.Put("config", "main", map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": described,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}))
}

// startTarget starts a new target of a service at an address that was not used before.
func (d *deployment) startTarget(s service, zone string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.started++
	t := &stand.Target{
		Address: fmt.Sprintf("127.%d.%d.%d:8224", d.options.network, 2+d.started/250, 1+d.started%250), ID: fmt.Sprintf("i-%s-%d", s.name, d.started),
		Service: s.name, Slots: s.slots, Zone: zone,
		Work: func() time.Duration {
			return time.Duration(float64(s.work) * (1 - workSpread + 2*workSpread*rand.Float64())) //nolint:gosec // A test load.
		},
	}
	d.targets = append(d.targets, t)
	return errors.Annotatef(t.Start(d.record, d.store), "target %s", t.ID)
}

// removeTarget takes a target off the list and returns it.
func (d *deployment) removeTarget(n int) *stand.Target {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n %= len(d.targets)
	t := d.targets[n]
	d.targets = slices.Delete(d.targets, n, n+1)
	return t
}

// stop stops all hosts, at the latest by SIGKILL, and waits for them.
func (d *deployment) stop(cancel context.CancelFunc) {
	cancel()
	var stops sync.WaitGroup
	for _, h := range d.hosts {
		stops.Go(h.stop)
	}
	stops.Wait()
	d.tasks.Wait()
}
