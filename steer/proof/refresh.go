package proof

import (
	"context"
	"slices"
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
		case <-c.config.Timer.After(retry/2 + c.config.Random(retry)):
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

// readersBeforeStore is the number of readers that a host asks before it reads the store. The others are asked last, for a host and
// readers that the store refuses while it serves others.
const readersBeforeStore = 2

// sources returns where to get a proof, in order: two readers of the region, the store and the remaining readers. The first reader
// begins with the store.
func (c *Checker) sources() []string {
	readers := c.config.Readers()
	position := min(len(readers), readersBeforeStore)
	if len(readers) > 0 && readers[0] == c.config.Self {
		position = 0
	}
	others := slices.DeleteFunc(slices.Clone(readers), func(r string) bool { return r == c.config.Self })
	return slices.Insert(others, min(position, len(others)), ownStore)
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
				delay = c.config.Random(jitter)
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
	receivedAt := c.config.Timer.Now()
	if !c.youngerThan(c.part(reusePart)) {
		// The read serves all that wait for it, so it does not end with the link of the first of them. If it fails, the
		// requester decides whether the proof at hand is of use.
		if err := c.readStore(context.WithoutCancel(ctx), true); err != nil && !c.youngerThan(c.config.MaxAge) {
			return nil, errors.Trace(err)
		}
	}
	s := c.state.Load()
	if !s.proven {
		return nil, errors.New("no proof")
	}
	// The requester subtracts the age from the time of its question, which is before receivedAt. A read that began later is
	// younger than the question.
	age := max(0, receivedAt.Sub(s.at))
	payload, err := wire.Encode(core.SettingsProof{
		AgeNs: int64(age), Digest: s.digest, Era: s.era, Revision: s.revision, RevisionEra: s.revisionEra,
	})
	return payload, errors.Trace(err)
}
