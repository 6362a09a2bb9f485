package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	grace = 6 * time.Second
	// restartDelay is the time after which the platform starts a process that has ended again.
	restartDelay = 200 * time.Millisecond
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// host is one entry host, whose process is started again whenever it ends.
type host struct {
	directory string
	front     string
	name      string
	ready     string
	region    string
	settings  string
	program   string
	loadTime  time.Duration
	logPath   string

	mutex   sync.Mutex
	process *exec.Cmd
	started time.Time
	exited  chan struct{}
	// stopping means that a signal was sent that ends the process.
	stopping bool
	// disturbed holds the times of signals that may break requests, and terms those of SIGTERM.
	disturbed []time.Time
	terms     []time.Time
	// failures describe the exits that no signal had caused.
	failures []string
}

// run starts the process, and again after each exit, until ctx ends.
func (h *host) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := h.start(); err != nil {
			h.fail(err.Error())
			return
		}
		err := h.process.Wait()
		h.mutex.Lock()
		if !h.stopping {
			h.failures = append(h.failures, fmt.Sprintf("%s ended by itself at %s: %v", h.name, time.Now().Format(time.TimeOnly), err))
		}
		close(h.exited)
		h.mutex.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(restartDelay):
		}
	}
}

func (h *host) start() error {
	log, err := os.OpenFile(h.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = log.Close() }()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.process = exec.CommandContext(context.Background(), h.program) //nolint:gosec // The program is an option.
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "LANG=C", "EBONYROUTER_NODE_FILE=" + h.settings}
	h.process.Stdout, h.process.Stderr = log, log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.stopping, h.exited = false, make(chan struct{})
	err = h.process.Start()
	h.started = time.Now()
	return errors.Trace(err)
}

func (h *host) fail(text string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures = append(h.failures, h.name+": "+text)
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch s {
	case syscall.SIGTERM:
		h.stopping = true
		h.terms = append(h.terms, time.Now())
	case syscall.SIGHUP:
		if time.Since(h.started) < h.loadTime {
			return
		}
	case syscall.SIGKILL:
		h.stopping = true
		h.disturbed = append(h.disturbed, time.Now())
	case syscall.SIGSTOP, syscall.SIGCONT:
		h.disturbed = append(h.disturbed, time.Now())
	default:
	}
	if h.process != nil && h.process.Process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// stop sends SIGTERM, and SIGKILL if the process still runs after the grace period.
func (h *host) stop() {
	h.signal(syscall.SIGTERM)
	h.mutex.Lock()
	exited := h.exited
	h.mutex.Unlock()
	select {
	case <-exited:
	case <-time.After(grace):
		h.signal(syscall.SIGKILL)
		<-exited
	}
}

// awaitReady waits until the host's readiness check succeeds.
func (h *host) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/api/ready", nil)
		if err != nil {
			return errors.Trace(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s is not ready after %v", h.name, readyTimeout)
		case <-time.After(pollInterval):
		}
	}
}

// snapshot returns copies of the times of disturbances and stops, and of the failures.
func (h *host) snapshot() (disturbed, terms []time.Time, failures []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append(disturbed, h.disturbed...), append(terms, h.terms...), append(failures, h.failures...)
}

// newHost writes the settings file of a host.
func newHost(o *options, n int, zone string) (*host, error) {
	ip := fmt.Sprintf("127.%d.1.%d", o.network, n+1)
	h := &host{
		directory: ip + ":8383", front: ip + ":8381", name: fmt.Sprintf("front-%s-%d", zone, n+1), ready: ip + ":8388", region: zones[zone],
		program: o.program, loadTime: o.loadTime,
	}
	h.settings, h.logPath = filepath.Join(o.logs, h.name+".json"), filepath.Join(o.logs, h.name+".log")
	return h, errors.Trace(h.writeSettings(ip, zone, o.storeAddress()))
}

func (h *host) writeSettings(ip, zone, storeAddress string) error {
	content, err := json.Marshal(map[string]any{
		"self": map[string]any{
			"node": h.name, "role": "entry", "ip": ip, "zone": zone, "region": h.region, "bootstrap": true,
			"limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0},
		},
		"network": map[string]any{
			"listen":        map[string]any{"front": h.front, "ready": h.ready, "control": ip + ":8382", "directory": h.directory},
			"internalPorts": []int{7200, 7215}, "seeds": []string{}, "zones": zones,
		},
		"platform": map[string]any{"heartbeat": "1500ms", "platform": map[string]any{"address": storeAddress}},
		"terms": map[string]any{"bounds": map[string]any{
			"grace": grace.String(), "retryBudgetRatio": 0.2, "ttl_max": "5s", "maxShift": 0.15,
		}},
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(h.settings, content, 0o600))
}
