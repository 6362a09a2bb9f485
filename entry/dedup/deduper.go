package dedup

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

const (
	// shardCount is the number of shards of each service, a constant of the stored format (see the package comment).
	// The store takes several hundred writes a second for all services together, and each shard writes all the time
	// when it is busy. Writes a second of one service with the preferred writer and 11 hosts, at 800 and 3200 bookings
	// a second: 4 shards 722 and 649, 2 shards 381 and 318, 1 shard 192 and 140.
	shardCount = 1
	// maxCacheBytes bounds the heads and indexes that are kept of shards without waiting ops.
	maxCacheBytes = 16 << 20
	retryAfter    = time.Second
)

// errClosed is the error of ops that wait when the Deduper is closed.
const errClosed = errors.ConstError("deduper is closed")

var _ core.Deduper = (*Deduper)(nil)

// Deduper records attempts in the store; each shard has a task while ops wait for a write.
type Deduper struct {
	cancel context.CancelFunc
	closed bool
	config Config
	ctx    context.Context //nolint:containedctx // the tasks of shards outlive the calls that start them
	mu     sync.Mutex
	ops    atomic.Int64
	shards map[string]*shard
	tasks  sync.WaitGroup
	// waiting counts the Begins that wait for an outcome.
	waiting atomic.Int64
	writes  atomic.Int64
}

// New returns a Deduper; Close ends its tasks.
func New(config Config) *Deduper {
	d := &Deduper{config: config, shards: map[string]*shard{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Begin implements core.Deduper.Begin; its errors are *core.RejectedError.
func (d *Deduper) Begin(ctx context.Context, request core.DedupRequest) (core.DedupResult, error) {
	return d.begin(ctx, request, false, firstPoll)
}

// begin begins an attempt; lower means that a lower try, whose answer is missing, must be released if this one fails.
// While another attempt is running, it waits at most for the time of wait and decides again when this process has
// written an outcome of the key.
func (d *Deduper) begin(ctx context.Context, request core.DedupRequest, lower bool, wait time.Duration) (core.DedupResult, error) {
	for {
		o := newOp(opBegin, request, core.DedupOutcome{})
		o.lower = lower
		r := d.do(ctx, o)
		if r.err != nil {
			return core.DedupResult{}, &core.RejectedError{
				Code: codes.KeyStoreUnavailable, RetryAfter: retryAfter, Text: r.err.Error(),
			}
		}
		if r.running == nil {
			return r.result, nil
		}
		from := d.config.Timer.Now()
		if !d.await(ctx, o, r.running, wait) {
			return r.result, nil
		}
		wait -= d.config.Timer.Now().Sub(from)
	}
}

// Close ends all tasks and waits for them; waiting calls return an error.
func (d *Deduper) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.tasks.Wait()
}

// Finish implements core.Deduper.Finish; after an error the outcome is still recorded later if the store answers.
func (d *Deduper) Finish(ctx context.Context, request core.DedupRequest, outcome core.DedupOutcome) error {
	return d.do(ctx, newOp(opFinish, request, outcome)).err
}

// Stats returns the counters.
func (d *Deduper) Stats() Stats {
	return Stats{Ops: d.ops.Load(), Writes: d.writes.Load()}
}

// do queues an op and waits for its result.
func (d *Deduper) do(ctx context.Context, o *op) opResult {
	s := d.shard(o)
	if !s.add(o) { //nolint:contextcheck // the task of a shard serves many callers and outlives each of them
		return opResult{err: errors.New("too many records wait for the store")}
	}
	select {
	case r := <-o.done:
		return r
	case <-ctx.Done():
		return s.abandon(o, errors.Annotate(ctx.Err(), "store did not answer in time"))
	}
}

// shard returns the shard of an op.
func (d *Deduper) shard(o *op) *shard {
	prefix := fmt.Sprintf("%s%s/%02d/", core.KeyDedupPrefix, o.request.Service, shardOf(o.key))
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shards[prefix]
	if s == nil {
		s = &shard{deduper: d, indexes: map[int64]index{}, prefix: prefix, service: o.request.Service, waits: map[string]*outcomeWait{}, wake: make(chan struct{}, 1)}
		d.shards[prefix] = s
	}
	return s
}

// start runs the task of a shard if none runs; the caller holds the shard's mutex.
func (d *Deduper) start(s *shard) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	if s.running {
		return true
	}
	s.running = true
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		s.run()
		d.trim()
	}()
	return true
}

// trim forgets the caches of idle shards, the least recently used first, until the bound holds.
func (d *Deduper) trim() {
	d.mu.Lock()
	shards := make([]*shard, 0, len(d.shards))
	for _, s := range d.shards {
		shards = append(shards, s)
	}
	d.mu.Unlock()
	for {
		total := 0
		var oldest *shard
		var oldestUsed core.Instant
		for _, s := range shards {
			size, used, idle := s.cached()
			total += size
			if idle && size > 0 && (oldest == nil || used.Before(oldestUsed)) {
				oldest, oldestUsed = s, used
			}
		}
		if total <= maxCacheBytes || oldest == nil {
			return
		}
		oldest.forget()
	}
}

// shardOf returns the number of the shard of a key.
func shardOf(key []byte) int {
	return int(key[0]) % shardCount
}
