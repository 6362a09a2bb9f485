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
	// shardCount is the number of shards of each service, which is part of the stored format (see the package comment).
	// The store handles several hundred writes a second for all services together, and a busy shard writes
	// continuously. One service with a preferred writer and 11 hosts, at 800 and 3200 bookings a second, needs 722 and
	// 649 writes a second with 4 shards, 381 and 318 with 2 shards, and 192 and 140 with 1 shard.
	shardCount = 1
	// maxCacheBytes bounds the cached heads and segment indexes; only idle shards are evicted.
	maxCacheBytes = 16 << 20
	retryAfter    = time.Second
)

// errClosed is the error of ops that are still queued when the Deduper is closed.
const errClosed = errors.ConstError("deduper is closed")

var _ core.Deduper = (*Deduper)(nil)

// Deduper records attempts in the store. Each shard with queued ops has a task that writes them.
type Deduper struct {
	cancel context.CancelFunc
	closed bool
	config Config
	ctx    context.Context //nolint:containedctx // shard tasks outlive the calls that start them
	mu     sync.Mutex
	ops    atomic.Int64
	shards map[string]*shard
	tasks  sync.WaitGroup
	// waiting is the number of Begins that wait for the outcome of another attempt.
	waiting atomic.Int64
	writes  atomic.Int64
}

// New returns a Deduper; Close stops its tasks.
func New(config Config) *Deduper {
	d := &Deduper{config: config, shards: map[string]*shard{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Begin implements core.Deduper.Begin; all its errors are *core.RejectedError.
func (d *Deduper) Begin(ctx context.Context, request core.DedupRequest) (core.DedupResult, error) {
	return d.begin(ctx, request, false, firstPollInterval)
}

// begin begins an attempt. lowerTryUnknown means that the response to a lower try is missing, so a record of that try
// must be released if this try fails. While another attempt is running, begin waits up to maxWait and decides
// again whenever this process writes an outcome or a release of the key.
func (d *Deduper) begin(
	ctx context.Context, request core.DedupRequest, lowerTryUnknown bool, maxWait time.Duration,
) (core.DedupResult, error) {
	for {
		o := newOp(opBegin, request, core.DedupOutcome{})
		o.lowerTryUnknown = lowerTryUnknown
		r := d.submit(ctx, o)
		if r.err != nil {
			return core.DedupResult{}, &core.RejectedError{
				Code: codes.KeyStoreUnavailable, RetryAfter: retryAfter, Text: r.err.Error(),
			}
		}
		if r.wait == nil {
			return r.result, nil
		}
		waitStart := d.config.Timer.Now()
		if !d.awaitOutcome(ctx, o, r.wait, maxWait) {
			return r.result, nil
		}
		maxWait -= d.config.Timer.Now().Sub(waitStart)
	}
}

// Close stops all tasks and waits for them to end; pending calls return an error.
func (d *Deduper) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.tasks.Wait()
}

// Finish implements core.Deduper.Finish. If the store fails or ctx ends, it returns an error, but the outcome stays queued
// while the queue has room, and is recorded once the store responds.
func (d *Deduper) Finish(ctx context.Context, request core.DedupRequest, outcome core.DedupOutcome) error {
	return d.submit(ctx, newOp(opFinish, request, outcome)).err
}

// Stats returns the counters.
func (d *Deduper) Stats() Stats {
	return Stats{Ops: d.ops.Load(), Writes: d.writes.Load()}
}

// submit queues an op and waits for its result.
func (d *Deduper) submit(ctx context.Context, o *op) opResult {
	s := d.shard(o)
	if !s.enqueue(o) { //nolint:contextcheck // a shard's task serves many callers and outlives each of them
		return opResult{err: errors.New("too many records wait for the store")}
	}
	select {
	case r := <-o.done:
		return r
	case <-ctx.Done():
		return s.abandon(o, errors.Annotate(ctx.Err(), "store did not answer in time"))
	}
}

// shard returns the shard of an op and creates it if necessary.
func (d *Deduper) shard(o *op) *shard {
	prefix := fmt.Sprintf("%s%s/%02d/", core.KeyDedupPrefix, o.request.Service, shardOf(o.key))
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shards[prefix]
	if s == nil {
		s = &shard{
			deduper: d, indexes: map[int64]index{}, prefix: prefix, service: o.request.Service,
			waits: map[string]*outcomeWait{}, wake: make(chan struct{}, 1),
		}
		d.shards[prefix] = s
	}
	return s
}

// startTask starts the task of a shard unless it is running, and returns false if the Deduper is closed. The caller
// holds the shard's mutex.
func (d *Deduper) startTask(s *shard) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	if s.taskRunning {
		return true
	}
	s.taskRunning = true
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		s.run()
		d.trimCaches()
	}()
	return true
}

// trimCaches drops the caches of idle shards, least recently used first, until the total is at most maxCacheBytes.
func (d *Deduper) trimCaches() {
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
			size, used, idle := s.cacheUsage()
			total += size
			if idle && size > 0 && (oldest == nil || used.Before(oldestUsed)) {
				oldest, oldestUsed = s, used
			}
		}
		if total <= maxCacheBytes || oldest == nil {
			return
		}
		oldest.dropCache()
	}
}

// shardOf returns the shard number of a hashed key.
func shardOf(key []byte) int {
	return int(key[0]) % shardCount
}
