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
	// defaultDrainGrace bounds the stop of a process that never had settings.
	defaultDrainGrace = 10 * time.Second
)

// drain stops the process gracefully: look-ups stop naming it, requests in flight finish, objects are released. It returns
// an error if requests were interrupted. A second signal ends it at once.
func (p *process) drain(ctx context.Context, signals <-chan os.Signal) error {
	grace, valid := p.drainTimes()
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
	p.awaitCallers(ctx, started.Add(valid))
	var err error
	select {
	case err = <-released:
	case <-ctx.Done():
	}
	shutdownErr := p.shutdown(ctx)
	interrupted := p.gate.InFlight()
	event.ProcessStopped.Write(p.log, zap.Duration("took", p.timer.Now().Sub(started)),
		zap.Int("interrupted", interrupted), zap.NamedError("release", err), zap.NamedError("shutdown", shutdownErr))
	return stopError(interrupted)
}

// stopError returns the result of a stop that interrupted this number of requests.
func stopError(interrupted int) error {
	if interrupted == 0 {
		return nil
	}
	return errors.Errorf("stopped with %d requests in flight (code %d)", interrupted, codes.StopInterrupted)
}

// awaitCallers serves until look-up answers have expired, then rejects new requests and returns when none is in
// flight, or earlier when the stop must end.
func (p *process) awaitCallers(ctx context.Context, expired core.Instant) {
	ticks := p.timer.Subscribe(drainInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C():
			if now.Before(expired) {
				continue
			}
			p.gate.rejecting.Store(true)
			if p.gate.InFlight() == 0 {
				return
			}
		}
	}
}

// drainTimes returns the longest stop and the validity of look-up answers.
func (p *process) drainTimes() (grace, valid time.Duration) {
	snapshot := p.settings.Current()
	if snapshot == nil {
		return defaultDrainGrace, 0
	}
	for _, zones := range snapshot.Policies {
		policy := zones[*p.options.Zone]
		grace = max(grace, time.Duration(policy.DrainGraceMs)*time.Millisecond)
		valid = max(valid, time.Duration(policy.LookupValidMs)*time.Millisecond)
	}
	return max(grace, defaultDrainGrace), valid
}

// shutdown finishes open requests of callers, then those of peers.
func (p *process) shutdown(ctx context.Context) error {
	if err := p.caller.Shutdown(ctx); err != nil {
		return err
	}
	return p.relay.Shutdown(ctx)
}
