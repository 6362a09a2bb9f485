package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// hostPorts are the ports that a host uses at its address.
var hostPorts = []int{8381, 8382, 8383, 8388, 7200, 9100}

// bed is a small deployment: a store, targets and hosts on loopback addresses.
type bed struct {
	folder       string
	hosts        []*host
	log          *record
	machine      machine
	network      int
	store        *store
	storeAddress string
	targets      []*target
	// zones maps each availability zone to its region.
	zones map[string]string

	closing sync.Once
	server  *http.Server
}

func newBed(log *record) (*bed, error) {
	if _, err := os.Stat("target/platform"); err != nil {
		return nil, fmt.Errorf("run in the root of the repository after its build: %w", err)
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bed{
		folder: folder, log: log, machine: smallestMachine, network: freeNetwork(), store: newStore(log), storeAddress: listener.Addr().String(),
		zones: map[string]string{"nord-a": "muc-nord", "nord-b": "muc-nord"},
	}
	b.server = &http.Server{Handler: b.store}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// freeNetwork returns the second byte of loopback addresses whose ports are free.
func freeNetwork() int {
	for range 100 {
		n := 10 + rand.IntN(200)
		if slices.ContainsFunc(hostPorts, func(port int) bool { return !free(fmt.Sprintf("127.%d.1.1:%d", n, port)) }) {
			continue
		}
		return n
	}
	return 9
}

func free(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}

// addHost starts a host in an availability zone and waits until it is ready.
func (b *bed) addHost(zone string) (*host, error) {
	n := len(b.hosts) + 1
	name := fmt.Sprintf("front-%s-%d", zone, n)
	h := &host{bed: b, bootstrap: true, ip: fmt.Sprintf("127.%d.1.%d", b.network, n), name: name, settings: filepath.Join(b.folder, name+".json"), zone: zone}
	b.hosts = append(b.hosts, h)
	return h, h.start()
}

// addTarget starts a target.
func (b *bed) addTarget(t *target) error {
	t.address, t.id = b.nextTarget(t.service)
	b.targets = append(b.targets, t)
	return t.start(b.log, b.store)
}

// nextTarget returns the address and the id of the next target.
func (b *bed) nextTarget(service string) (address, id string) {
	n := len(b.targets) + 1
	return fmt.Sprintf("127.%d.2.%d:8080", b.network, n), fmt.Sprintf("i-%s-%d", service, n)
}

// ran returns what targets saw of a request, and which target ran it; nil if none did.
func (b *bed) ran(id string) (*targetRun, *target) {
	for _, t := range b.targets {
		if run := t.run(id); run != nil {
			return run, t
		}
	}
	return nil, nil
}

// unexpectedExit returns an error if a process has ended by itself.
func (b *bed) unexpectedExit() error {
	for _, h := range b.hosts {
		h.mutex.Lock()
		err := h.failure
		h.mutex.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	b.closing.Do(func() {
		for _, h := range b.hosts {
			h.close()
		}
		for _, t := range b.targets {
			_ = t.server.Close()
		}
		_ = b.server.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(b.folder)
		}
	})
}
