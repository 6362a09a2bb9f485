package drive

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// lookupTimeout limits one lookup.
	lookupTimeout = time.Second
	// tokenBytes is the size of the random prefix that makes the tokens of different runners differ.
	tokenBytes = 8
)

// Runner sends the load of one mode. It keeps its connections and lookups between calls of Run.
type Runner struct {
	client      *http.Client
	config      Config
	mode        string
	tokenCount  atomic.Int64
	tokenPrefix string
	sender      *sender
}

// NewRunner returns a runner of mode. It returns an error if config is invalid or has no addresses for mode.
func NewRunner(mode string, config Config) (*Runner, error) {
	err := config.Validate()
	if err != nil {
		return nil, errors.Trace(err)
	}
	transport := &http.Transport{
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: config.Concurrency,
	}
	r := &Runner{client: &http.Client{Transport: transport}, config: config, mode: mode}
	var random [tokenBytes]byte
	_, _ = rand.Read(random[:])
	r.tokenPrefix = hex.EncodeToString(random[:]) + "-"
	r.sender = &sender{client: r.client, config: config}
	if config.Method != http.MethodGet && config.Method != http.MethodHead {
		r.sender.body = bytes.Repeat([]byte("x"), max(1, config.BodyBytes))
	}
	switch {
	case mode == ModeDirect && len(config.Targets) > 0:
		r.sender.picker = &pinnedPicker{targets: config.Targets}
	case mode == ModeRoundRobin && len(config.Targets) > 0:
		r.sender.picker = &roundRobinPicker{targets: config.Targets}
	case mode == ModeSystem && len(config.Entries) > 0:
		r.sender.picker = &lookupPicker{client: &http.Client{Timeout: lookupTimeout, Transport: transport}, config: config}
	default:
		return nil, errors.Errorf("mode %q is unknown or has no addresses", mode)
	}
	return r, nil
}

// Close closes the idle connections.
func (r *Runner) Close() {
	r.client.CloseIdleConnections()
}

// Run sends load for the given duration or until ctx ends, and then waits for the pending responses.
func (r *Runner) Run(ctx context.Context, duration time.Duration) *Report {
	// The histograms of 4,000 workers take several hundred megabytes; the measured time excludes allocating and merging them.
	reports := make([]*Report, r.config.Concurrency)
	for worker := range reports {
		reports[worker] = NewReport(r.mode)
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	start := time.Now()
	var scheduled atomic.Int64
	var workers sync.WaitGroup
	for worker := range reports {
		workers.Go(func() { r.work(ctx, worker, start, &scheduled, reports[worker]) })
	}
	workers.Wait()
	seconds := time.Since(start).Seconds()
	total := NewReport(r.mode)
	for _, report := range reports {
		total.Merge(report)
	}
	total.Seconds = seconds
	return total
}

// awaitDue waits until the next request is due and returns that time, or false when the run is over. In an open loop the
// latency counts from that time, so that it includes the delay of a request that starts late.
func (r *Runner) awaitDue(ctx context.Context, start time.Time, scheduled *atomic.Int64) (time.Time, bool) {
	if r.config.Rate == 0 {
		return time.Now(), ctx.Err() == nil
	}
	index := scheduled.Add(1) - 1
	due := start.Add(time.Duration(float64(index) / r.config.Rate * float64(time.Second)))
	deadline, _ := ctx.Deadline()
	if !due.Before(deadline) {
		return due, false
	}
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return due, true
	case <-ctx.Done():
		return due, false
	}
}

// work sends requests one after the other and records their outcomes in report.
func (r *Runner) work(ctx context.Context, worker int, start time.Time, scheduled *atomic.Int64, report *Report) {
	for {
		due, more := r.awaitDue(ctx, start, scheduled)
		if !more {
			return
		}
		if time.Since(due) > r.config.Deadline {
			// No worker was available before the deadline: less load is sent than offered.
			report.record(outcome{kind: kindUnsent, result: "not sent"}, 0, 0)
			continue
		}
		o := r.sender.send(context.WithoutCancel(ctx), worker, r.tokenPrefix+strconv.FormatInt(r.tokenCount.Add(1), 36), due)
		report.record(o, time.Since(due), r.config.Deadline)
	}
}
