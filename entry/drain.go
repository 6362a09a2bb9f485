package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
)

const (
	readyInterval = 50 * time.Millisecond
	drainInterval = 50 * time.Millisecond
	// minDrainGrace is the lower bound of the time limit of a graceful stop. It is the limit of a process without settings.
	minDrainGrace = 10 * time.Second
)

// drain stops the process gracefully: lookups no longer return this host, in-flight requests finish and owned objects are
// released. It returns an error if requests were interrupted. A second signal ends the drain at once.
func (p *process) drain(ctx context.Context, signals <-chan os.Signal) error {
	grace, lookupValid := p.drainDurations()
	event.ProcessStopping.Write(p.log, zap.Duration("grace", grace), zap.Int("in_flight", p.gate.InFlight()))
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	started := p.timer.Now()
	p.state.Store(core.HostDraining)
	p.gate.draining.Store(true)
	p.proxy.Drain()
	p.agent.SendStatus()
	released := make(chan error, 1)
	go func() { released <- p.holder.Drain(ctx) }()
	p.awaitRequests(ctx, started.Add(lookupValid))
	var releaseErr error
	select {
	case releaseErr = <-released:
	case <-ctx.Done():
	}
	shutdownErr := p.shutdown(ctx)
	interrupted := p.gate.InFlight()
	event.ProcessStopped.Write(p.log, zap.Duration("took", p.timer.Now().Sub(started)),
		zap.Int("interrupted", interrupted), zap.NamedError("release", releaseErr), zap.NamedError("shutdown", shutdownErr))
	return stopError(interrupted)
}

// stopError returns an error if the stop has interrupted any requests.
func stopError(interrupted int) error {
	if interrupted == 0 {
		return nil
	}
	return errors.Errorf("stopped with %d requests in flight (code %d)", interrupted, codes.StopInterrupted)
}

// awaitRequests keeps accepting requests until the lookup results that contain this host have expired. Then it rejects new
// requests, and returns when none is in flight or when ctx ends.
func (p *process) awaitRequests(ctx context.Context, lookupsExpire core.Instant) {
	ticks := p.timer.Subscribe(drainInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C():
			if now.Before(lookupsExpire) {
				continue
			}
			p.gate.rejecting.Store(true)
			if p.gate.InFlight() == 0 {
				return
			}
		}
	}
}

// drainDurations returns the time limit of a graceful stop and how long lookup results stay valid, each the longest of all
// services.
func (p *process) drainDurations() (grace, lookupValid time.Duration) {
	snapshot := p.settings.Current()
	if snapshot == nil {
		return minDrainGrace, 0
	}
	for _, zones := range snapshot.Policies {
		policy := zones[*p.options.Zone]
		grace = max(grace, time.Duration(policy.DrainGraceMs)*time.Millisecond)
		lookupValid = max(lookupValid, time.Duration(policy.LookupValidMs)*time.Millisecond)
	}
	return max(grace, minDrainGrace), lookupValid
}

// shutdown closes the server for callers, then the one for peers; each waits for its open requests.
func (p *process) shutdown(ctx context.Context) error {
	if err := p.callerServer.Shutdown(ctx); err != nil {
		return err
	}
	return p.relayServer.Shutdown(ctx)
}
