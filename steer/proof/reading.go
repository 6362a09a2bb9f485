package proof

import (
	"context"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// reading is one read of the store. Its other fields are set when done is closed.
type reading struct {
	done    chan struct{}
	endedAt core.Instant
	err     error
}

// readStore reads the store, or waits for the read in progress. With reuseFailure set, it returns the error of a read that has
// just failed, so that a reader whose store refuses is not made to read by each request.
func (c *Checker) readStore(ctx context.Context, reuseFailure bool) error {
	now := c.config.Timer.Now()
	c.mutex.Lock()
	if r := c.reading; r != nil {
		c.mutex.Unlock()
		select {
		case <-r.done:
			return r.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if last := c.lastRead; reuseFailure && last != nil && last.err != nil && now.Sub(last.endedAt) < c.part(failurePart) {
		c.mutex.Unlock()
		return last.err
	}
	r := &reading{done: make(chan struct{})}
	c.reading = r
	c.mutex.Unlock()
	r.err = c.read(ctx)
	r.endedAt = c.config.Timer.Now()
	c.mutex.Lock()
	c.reading, c.lastRead = nil, r
	c.mutex.Unlock()
	close(r.done)
	return r.err
}

// read makes one read of the store. The age of the proof counts from before the call.
func (c *Checker) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.part(readPart))
	defer cancel()
	c.counters.read.Add(1)
	at := c.config.Timer.Now()
	newest, err := c.config.Newest.ReadNewest(ctx)
	if err != nil {
		c.counters.readFailed.Add(1)
		return errors.Trace(err)
	}
	if !c.apply(finding{at: at, digest: newest.Digest, era: newest.Era, revision: newest.Revision, revisionEra: newest.Era}) {
		c.counters.readFailed.Add(1)
		return errors.Errorf("the read of era %d took %v", newest.Era, c.config.Timer.Now().Sub(at))
	}
	return nil
}
