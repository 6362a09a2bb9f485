package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

const (
	// askInterval is the time between two regular asks. Shares follow the demand within two of them.
	askInterval = 500 * time.Millisecond
	// minAskInterval is the shortest time between two asks.
	minAskInterval = 50 * time.Millisecond
	// askTimeout bounds an ask, which takes 110 ms to another region.
	askTimeout = 600 * time.Millisecond
	// linkPollInterval is the time between two attempts while a link is being established, for at most linkTimeout.
	linkPollInterval = 20 * time.Millisecond
	linkTimeout      = 1500 * time.Millisecond
	// retryInterval is the time between two asks without an answer.
	retryInterval = 250 * time.Millisecond
	// findInterval is the time between two reads of the record while the coordinator does not answer. It is lengthened by up to
	// a half at random.
	findInterval = 800 * time.Millisecond
	// maxWait is the longest time for which a request waits for a share. A read of the record, a new link to another region
	// and an ask take 300 ms, and two asks that follow each other up to 400 ms under load.
	maxWait = 600 * time.Millisecond
	// maxWaiting bounds the requests that wait.
	maxWaiting = 256
)

// Config holds the dependencies of a Limiter.
type Config struct {
	Bounds      core.QuotaBounds
	Coordinator core.QuotaCoordinator
	Links       core.Links
	Log         *zap.Logger
	// OnRefuse is called with the name of the customer of each refused request.
	OnRefuse func(customer string)
	// Rank returns the position of this host in an order that all hosts share, and the number of hosts; -1 if it is not known.
	Rank  func() (rank, hosts int)
	Self  core.Host
	Timer core.Timer
}

// Limiter is the core.QuotaLimiter of one host.
type Limiter struct {
	config Config
	wake   chan struct{}

	mu     sync.Mutex
	shares *Shares
	// changed is closed and replaced after each answered ask.
	changed chan struct{}
	// failing means that asks have failed since failingSince.
	failing      bool
	failingSince core.Instant

	// The following fields belong to Run.
	connectedAt core.Instant
	findAt      core.Instant
	record      core.QuotaRecord
}

var _ core.QuotaLimiter = (*Limiter)(nil)

// NewLimiter returns a limiter that serves once Run is called.
func NewLimiter(config Config) *Limiter {
	return &Limiter{
		changed: make(chan struct{}), config: config, wake: make(chan struct{}, 1),
		shares: NewShares(config.Self.Host, config.Self.Incarnation, config.Bounds, config.Timer.Now()),
	}
}

// Take implements core.QuotaLimiter.Take. It waits for up to maxWait if the coordinator may have more for this host.
func (l *Limiter) Take(customer *core.CustomerSettings) error {
	if customer.RequestsPerSecond <= 0 {
		return nil
	}
	rank, hosts := l.config.Rank()
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.shares.Take(customer, rank, hosts, l.config.Timer.Now())
	l.shares.Count(customer.Name)
	if verdict == Taken {
		if l.shares.Short(customer.Name) {
			l.wakeUp()
		}
		return nil
	}
	var timeout <-chan core.Instant
	for expired := false; verdict == Pending && !expired && l.mayWait(); {
		if timeout == nil {
			timeout = l.config.Timer.After(maxWait)
		}
		expired = l.wait(customer.Name, timeout)
		verdict = l.shares.Take(customer, rank, hosts, l.config.Timer.Now())
	}
	if verdict == Taken {
		return nil
	}
	return l.refuse(customer.Name)
}

// Customers returns the number of customers of which the host keeps something.
func (l *Limiter) Customers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Len()
}

// Run asks for shares until ctx ends. While the host has no requests of customers with a quota, it neither reads the record nor
// keeps a link.
func (l *Limiter) Run(ctx context.Context) {
	var askAt, regularAt core.Instant
	for {
		if l.Customers() == 0 {
			l.connect(core.QuotaRecord{})
			select {
			case <-ctx.Done():
				return
			case <-l.wake:
			}
		} else if wait := regularAt.Sub(l.config.Timer.Now()); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.wake:
			case <-l.config.Timer.After(wait):
			}
		}
		if wait := askAt.Sub(l.config.Timer.Now()); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.config.Timer.After(wait):
			}
		}
		if ctx.Err() != nil {
			return
		}
		now := l.config.Timer.Now()
		urgent := now.Before(regularAt)
		again := l.exchange(ctx, urgent)
		askAt = now.Add(minAskInterval)
		switch {
		case again > 0:
			regularAt = l.config.Timer.Now().Add(again)
			askAt = regularAt
		case !urgent:
			regularAt = now.Add(askInterval)
		}
	}
}

// exchange asks the coordinator once. It returns the time after which to try again, or 0 if the coordinator answered.
func (l *Limiter) exchange(ctx context.Context, urgent bool) time.Duration {
	if l.needsFind() && !l.find(ctx) {
		l.fail("the coordinator is not known", nil)
		return retryInterval
	}
	l.mu.Lock()
	ask, needed := l.shares.Ask(urgent, l.config.Timer.Now())
	l.mu.Unlock()
	if !needed {
		return 0
	}
	reply, err := l.request(ctx, ask)
	now := l.config.Timer.Now()
	switch {
	case errors.Is(err, core.ErrLinkDown) && now.Sub(l.connectedAt) < linkTimeout:
		return linkPollInterval
	case err != nil:
		l.fail("no answer", err)
		return retryInterval
	case !reply.Coordinating:
		l.fail("the process is not the coordinator", nil)
		return retryInterval
	}
	l.adopt(reply, now)
	return 0
}

// needsFind reports whether the record has to be read: at the beginning, and from time to time while there is no answer.
func (l *Limiter) needsFind() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Host == "" || l.failing && !l.config.Timer.Now().Before(l.findAt)
}

// find reads who coordinates, which may elect this process.
func (l *Limiter) find(ctx context.Context) bool {
	l.findAt = l.config.Timer.Now().Add(findInterval + rand.N(findInterval/2)) //nolint:gosec // Jitter needs no secret.
	record, err := l.config.Coordinator.Find(ctx)
	if err != nil || record.Validate() != nil {
		return l.record.Host != ""
	}
	l.mu.Lock()
	follows := l.shares.Follow(record.Token)
	l.mu.Unlock()
	if follows {
		l.connect(record)
	}
	return l.record.Host != ""
}

// connect replaces the link to the coordinator. An empty record closes it.
func (l *Limiter) connect(record core.QuotaRecord) {
	if record.LinkAddress != l.record.LinkAddress {
		if l.record.LinkAddress != "" && !l.isSelf(l.record) {
			l.config.Links.Disconnect(l.record.LinkAddress)
		}
		if record.LinkAddress != "" && !l.isSelf(record) {
			l.config.Links.Connect(record.LinkAddress)
			l.connectedAt = l.config.Timer.Now()
		}
	}
	l.record = record
}

func (l *Limiter) isSelf(record core.QuotaRecord) bool {
	return record.LinkAddress == l.config.Self.LinkAddress
}

// request sends an ask to the coordinator, which may be this process.
func (l *Limiter) request(ctx context.Context, ask core.QuotaAsk) (core.QuotaReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if l.isSelf(l.record) {
		return l.config.Coordinator.Answer(ctx, ask)
	}
	payload, err := wire.Encode(ask)
	if err != nil {
		return core.QuotaReply{}, errors.Trace(err)
	}
	payload, err = l.config.Links.Request(ctx, l.record.LinkAddress, core.TopicQuota, payload)
	if err != nil {
		return core.QuotaReply{}, errors.Trace(err)
	}
	var reply core.QuotaReply
	return reply, errors.Trace(wire.Decode(payload, &reply))
}

// adopt takes over the shares of a reply and wakes the requests that wait.
func (l *Limiter) adopt(reply core.QuotaReply, now core.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, adopted := l.shares.Adopt(reply, now)
	if !adopted {
		return
	}
	l.failing = false
	for _, c := range changes {
		event.QuotaShareChanged.Write(l.config.Log, zap.String("customer", c.Customer), zap.Float64("old", c.Old), zap.Float64("rate", c.New),
			zap.Int64("era", reply.Token.Era), zap.Int64("election", reply.Token.Number))
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// fail notes an ask without shares.
func (l *Limiter) fail(reason string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return
	}
	l.failing, l.failingSince = true, l.config.Timer.Now()
	l.findAt = 0
	event.QuotaUnreachable.Write(l.config.Log, zap.String("coordinator", l.record.Host), zap.String("reason", reason), zap.Error(err))
}

// mayWait reports whether an answer of the coordinator can be expected soon. The caller holds the mutex.
func (l *Limiter) mayWait() bool {
	return l.shares.Waiting() < maxWaiting && (!l.failing || l.config.Timer.Now().Sub(l.failingSince) < maxWait)
}

// wait waits for the next answer of the coordinator and reports whether the timeout came first. The caller holds the mutex,
// which is released meanwhile.
func (l *Limiter) wait(name string, timeout <-chan core.Instant) bool {
	l.shares.Wait(name, 1)
	changed := l.changed
	l.wakeUp()
	l.mu.Unlock()
	expired := false
	select {
	case <-changed:
	case <-timeout:
		expired = true
	}
	l.mu.Lock()
	l.shares.Wait(name, -1)
	return expired
}

// wakeUp makes Run ask as soon as permitted.
func (l *Limiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// refuse returns the error of a request over the quota. The caller holds the mutex.
func (l *Limiter) refuse(name string) error {
	text := l.shares.Describe(name, l.config.Timer.Now())
	event.QuotaRefused.Write(l.config.Log, zap.String("customer", name), zap.String("share", text), zap.Bool("coordinator_fails", l.failing))
	if l.config.OnRefuse != nil {
		l.config.OnRefuse(name)
	}
	return &core.RejectedError{Code: codes.QuotaExceeded, RetryAfter: l.shares.RetryAfter(name), Text: "quota of the customer: " + text}
}
