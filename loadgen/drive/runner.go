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
	// lookupTimeout bounds one look-up.
	lookupTimeout = time.Second
	// tokenBytes makes the tokens of two runs differ.
	tokenBytes = 8
)

// Runner sends the load of one mode; it keeps its connections and look-ups between rounds.
type Runner struct {
	client *http.Client
	config Config
	mode   string
	next   atomic.Int64
	prefix string
	sender *sender
}

// NewRunner returns a runner of mode; config must be valid.
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
	var b [tokenBytes]byte
	_, _ = rand.Read(b[:])
	r.prefix = hex.EncodeToString(b[:]) + "-"
	r.sender = &sender{client: r.client, config: config}
	if config.Method != http.MethodGet && config.Method != http.MethodHead {
		r.sender.body = bytes.Repeat([]byte("x"), max(1, config.BodyBytes))
	}
	switch {
	case mode == ModeDirect && len(config.Targets) > 0:
		r.sender.picker = &pinned{targets: config.Targets}
	case mode == ModeRoundRobin && len(config.Targets) > 0:
		r.sender.picker = &rotating{targets: config.Targets}
	case mode == ModeSystem && len(config.Entries) > 0:
		r.sender.picker = &lookup{client: &http.Client{Timeout: lookupTimeout, Transport: transport}, config: config}
	default:
		return nil, errors.Errorf("mode %q is unknown or has no addresses", mode)
	}
	return r, nil
}

// Close closes the idle connections.
func (r *Runner) Close() {
	r.client.CloseIdleConnections()
}

// Run sends load for the given duration or until ctx ends and waits for the last response.
func (r *Runner) Run(ctx context.Context, duration time.Duration) *Report {
	// The histograms of 4,000 workers take some hundred megabytes; neither their allocation nor their sum is load.
	reports := make([]*Report, r.config.Concurrency)
	for worker := range reports {
		reports[worker] = NewReport(r.mode)
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	start := time.Now()
	var tickets atomic.Int64
	var workers sync.WaitGroup
	for worker := range reports {
		workers.Go(func() { r.work(ctx, worker, start, &tickets, reports[worker]) })
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

// due waits until the next request is due; in an open loop the latency counts from that time, so that a late
// start is not hidden.
func (r *Runner) due(ctx context.Context, start time.Time, tickets *atomic.Int64) (time.Time, bool) {
	if r.config.Rate == 0 {
		return time.Now(), ctx.Err() == nil
	}
	ticket := tickets.Add(1) - 1
	at := start.Add(time.Duration(float64(ticket) / r.config.Rate * float64(time.Second)))
	deadline, _ := ctx.Deadline()
	if !at.Before(deadline) {
		return at, false
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return at, true
	case <-ctx.Done():
		return at, false
	}
}

// work sends requests one after the other.
func (r *Runner) work(ctx context.Context, worker int, start time.Time, tickets *atomic.Int64, report *Report) {
	for {
		at, more := r.due(ctx, start, tickets)
		if !more {
			return
		}
		if time.Since(at) > r.config.Deadline {
			// No worker was free before the deadline; the offered load is higher than the load that was sent.
			report.record(outcome{kind: kindUnsent, result: "not sent"}, 0, 0)
			continue
		}
		o := r.sender.send(context.WithoutCancel(ctx), worker, r.prefix+strconv.FormatInt(r.next.Add(1), 36), at)
		report.record(o, time.Since(at), r.config.Deadline)
	}
}
