package share

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
)

const (
	// renewInterval is the time between two writes of the record while hosts ask. A lost write still leaves time for another
	// one before the lease ends.
	renewInterval = 1500 * time.Millisecond
	// askedWithin is the time after the last ask for which the record is renewed.
	askedWithin = 3 * time.Second
)

// Coordinator answers the asks of hosts while its process is elected. It is safe for concurrent use.
type Coordinator struct {
	*Elector
	// customers is the number of customers of which the book keeps something, for metrics.
	customers atomic.Int64
	lastAsk   atomic.Int64
	// renewing permits one renewal at a time for asks.
	renewing chan struct{}
	settings core.SettingsSource
	wake     chan struct{}
}

var _ core.QuotaCoordinator = (*Coordinator)(nil)

// NewCoordinator returns a coordinator that divides the quotas of the settings in force.
func NewCoordinator(elector *Elector, settings core.SettingsSource) *Coordinator {
	return &Coordinator{Elector: elector, renewing: make(chan struct{}, 1), settings: settings, wake: make(chan struct{}, 1)}
}

// Answer implements core.QuotaCoordinator.Answer. If the lease of this process has ended and nobody else was elected, it first
// renews the lease.
func (c *Coordinator) Answer(ctx context.Context, ask core.QuotaAsk) (core.QuotaReply, error) {
	if err := ask.Validate(); err != nil {
		return core.QuotaReply{}, errors.Trace(err)
	}
	c.lastAsk.Store(int64(c.timer.Now()))
	reply, leading := c.answer(ask, c.find)
	if !leading && !c.elected() {
		if err := c.succeed(ctx); err != nil {
			return reply, errors.Trace(err)
		}
	}
	if !leading && c.elected() {
		var err error
		if reply, leading, err = c.renewAndAnswer(ctx, ask); err != nil {
			return reply, errors.Trace(err)
		}
	}
	if leading {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return reply, nil
}

// renewAndAnswer renews the lease, unless another ask has done so meanwhile, and answers.
func (c *Coordinator) renewAndAnswer(ctx context.Context, ask core.QuotaAsk) (reply core.QuotaReply, leading bool, err error) {
	select {
	case c.renewing <- struct{}{}:
	case <-ctx.Done():
		return reply, false, errors.WithType(ctx.Err(), core.ErrUnavailable)
	}
	defer func() { <-c.renewing }()
	if reply, leading = c.answer(ask, c.find); leading {
		return reply, true, nil
	}
	if err = c.Renew(ctx); err != nil {
		return reply, false, err
	}
	reply, leading = c.answer(ask, c.find)
	return reply, leading, nil
}

// Customers returns the number of customers of which this process keeps shares, or 0 if it does not coordinate.
func (c *Coordinator) Customers() int64 {
	return c.customers.Load()
}

// HandleRequest decodes an ask and encodes the reply; it is a core.RequestHandler.
func (c *Coordinator) HandleRequest(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var ask core.QuotaAsk
	if err := wire.Decode(payload, &ask); err != nil {
		return nil, errors.Trace(err)
	}
	reply, err := c.Answer(ctx, ask)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return wire.Encode(reply)
}

// Run renews the lease while hosts ask, until ctx ends. Without asks it waits without a timer.
func (c *Coordinator) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.timer.Now().Sub(core.Instant(c.lastAsk.Load())) < askedWithin && c.elected() {
			select {
			case <-ctx.Done():
				return
			case <-c.timer.After(renewInterval):
			}
			// A failed renewal is retried at the next interval or the next ask; the follower logs that the store is unavailable.
			_ = c.Renew(ctx)
			c.customers.Store(int64(c.prune()))
		}
		c.customers.Store(0)
	}
}

// find returns a customer of the settings in force.
func (c *Coordinator) find(name string) (*core.CustomerSettings, bool) {
	snapshot := c.settings.Current()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.Customers.Named(name)
}
