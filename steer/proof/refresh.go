package proof

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

// Run keeps the proof recent while there are requests with keys, until ctx is done.
func (c *Checker) Run(ctx context.Context) {
	retry := c.part(minRetryPart)
	for ctx.Err() == nil {
		wait, wanted := c.untilDue()
		switch {
		case !wanted:
			c.park(ctx)
			retry = c.part(minRetryPart)
			continue
		case wait > 0:
			select {
			case <-ctx.Done():
			case <-c.wake:
			case <-c.config.Timer.After(wait):
			}
			continue
		}
		reasons := c.refresh(ctx)
		if len(reasons) == 0 {
			c.failing.Store(false)
			retry = c.part(minRetryPart)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if retry == c.part(minRetryPart) {
			event.ProofFailed.Write(c.config.Log, append(c.fields(), zap.Errors("reasons", reasons))...)
		}
		c.failing.Store(!c.youngerThan(c.config.MaxAge))
		select {
		case <-ctx.Done():
		case <-c.config.Timer.After(retry/2 + rand.N(retry)):
		}
		retry = min(c.part(maxRetryPart), 2*retry)
	}
}

// park waits for a request with a key.
func (c *Checker) park(ctx context.Context) {
	c.failing.Store(false)
	c.parked.Store(true)
	defer c.parked.Store(false)
	// A request between untilDue and the change of parked has not woken this goroutine.
	if _, wanted := c.untilDue(); wanted {
		return
	}
	select {
	case <-ctx.Done():
	case <-c.wake:
	}
}

// untilDue returns the time until the proof is due to be replaced, and false if no request needs it.
func (c *Checker) untilDue() (time.Duration, bool) {
	now, demandAt := c.config.Timer.Now(), core.Instant(c.demandAt.Load())
	if demandAt == 0 || now.Sub(demandAt) > demandTime {
		return 0, false
	}
	age, proven := c.state.Load().age(now)
	if !proven {
		return 0, true
	}
	return max(0, c.part(refreshPart)-age), true
}

// ownStore stands for the host's own read among the sources of a refresh.
const ownStore = ""

// sources returns where to get a proof, in order: the readers of the region and then the store, or the store first on the
// first reader.
func (c *Checker) sources() []string {
	readers := c.config.Readers()
	var all []string
	for _, r := range readers {
		if r != c.config.Self {
			all = append(all, r)
		}
	}
	if len(readers) > 0 && readers[0] == c.config.Self {
		return append([]string{ownStore}, all...)
	}
	return append(all, ownStore)
}

// refresh tries the sources until the proof is recent. The next one is tried when all before have failed, and beside them when
// they take long. It returns the reasons why there is no recent proof, or none.
func (c *Checker) refresh(ctx context.Context) (reasons []error) {
	hedge, jitter := c.part(hedgePart), c.part(jitterPart)
	if !c.youngerThan(c.config.MaxAge) {
		hedge, jitter = c.part(urgentHedgePart), c.part(urgentJitterPart)
	}
	refreshCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources := c.sources()
	results := make(chan error, len(sources))
	running, next := 0, 0
	timeout := c.config.Timer.After(c.part(refreshTimePart))
	var hedged <-chan core.Instant
	for {
		if next < len(sources) && hedged == nil {
			source, delay := sources[next], time.Duration(0)
			if source == ownStore && next > 0 {
				delay = rand.N(jitter)
			}
			go func() { results <- c.try(refreshCtx, source, delay) }()
			next++
			running++
			hedged = c.config.Timer.After(hedge)
		}
		select {
		case err := <-results:
			running--
			if err == nil || c.youngerThan(c.part(refreshPart)) {
				return nil
			}
			reasons = append(reasons, err)
			if running == 0 && next == len(sources) {
				return reasons
			}
			hedged = nil
		case <-hedged:
			hedged = nil
		case <-timeout:
			return append(reasons, errors.New("sources have not answered in time"))
		case <-ctx.Done():
			return append(reasons, ctx.Err())
		}
	}
}

// try gets a proof from one source after a delay, unless there is a recent one by then.
func (c *Checker) try(ctx context.Context, source string, delay time.Duration) error {
	if delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.config.Timer.After(delay):
		}
		if c.youngerThan(c.part(refreshPart)) {
			return nil
		}
	}
	if source == ownStore {
		return errors.Annotate(c.readStore(ctx, false), "read of the store")
	}
	return errors.Annotatef(c.ask(ctx, source), "request to %s", source)
}

// ask requests a proof from a reader. The age of the answer counts from before the question, so that a late answer, or one that was
// on its way while either process was stopped, is not taken for a younger proof than it is.
func (c *Checker) ask(ctx context.Context, reader string) error {
	c.counters.asked.Add(1)
	askedAt := c.config.Timer.Now()
	payload, err := c.config.Links.Request(ctx, reader, core.TopicSettingsProof, nil)
	var p core.SettingsProof
	if err == nil {
		err = wire.Decode(payload, &p)
	}
	if err != nil {
		c.counters.askFailed.Add(1)
		return errors.Trace(err)
	}
	at := askedAt.Add(-time.Duration(p.AgeNs))
	if !c.apply(finding{at: at, digest: p.Digest, era: p.Era, revision: p.Revision, revisionEra: p.RevisionEra}) {
		c.counters.askFailed.Add(1)
		return errors.Errorf("answer of era %d with an age of %v", p.Era, time.Duration(p.AgeNs))
	}
	return nil
}

// handleRequest answers the request of another host with the proof of this one, which it replaces first if it is not recent. It never
// asks a third host, so that two hosts that are each other's readers do not wait for each other.
func (c *Checker) handleRequest(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	c.counters.answered.Add(1)
	if !c.youngerThan(c.part(reusePart)) {
		// The read serves all that wait for it, so it does not end with the link of the first of them. If it fails, the
		// requester decides whether the proof at hand is of use.
		if err := c.readStore(context.WithoutCancel(ctx), true); err != nil && !c.youngerThan(c.config.MaxAge) {
			return nil, errors.Trace(err)
		}
	}
	s := c.state.Load()
	age, proven := s.age(c.config.Timer.Now())
	if !proven {
		return nil, errors.New("no proof")
	}
	payload, err := wire.Encode(core.SettingsProof{
		AgeNs: int64(age), Digest: s.digest, Era: s.era, Revision: s.revision, RevisionEra: s.revisionEra,
	})
	return payload, errors.Trace(err)
}
