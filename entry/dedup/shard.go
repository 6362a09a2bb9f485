package dedup

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

const (
	// maxQueuedOps bounds the queued ops of a shard, and thereby the memory used during an outage of the store. A limit
	// of 512 was exceeded by a pause of 80 ms at 3200 bookings a second.
	maxQueuedOps = 4096
	// maxBatchBytes bounds the recorded responses in one write, so that the head stays below the largest object size.
	maxBatchBytes = 512 << 10
	// maxRequeuedBytes bounds the response bytes that a shard keeps of a failed batch for a later write, while the store
	// is unavailable. Responses beyond it are recorded as truncated.
	maxRequeuedBytes = 64 << 10
	// maxRounds bounds how often one batch is decided again after conflicts and lost responses.
	maxRounds = 32
	// contendedBatches is the number of batches that read the head before writing it, after a write by another process
	// was noticed. A read costs less than a conflicting write, and the store handles more reads than writes.
	contendedBatches = 16
	// minBackoff and maxBackoff bound the delay before the next batch after a failure of the store.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// errContended is the error of a batch that could not be written within maxRounds.
const errContended = errors.ConstError("other processes write the shard all the time")

// shard groups the ops on its keys into conditional writes, one at a time.
type shard struct {
	mu          sync.Mutex
	ops         []*op
	taskRunning bool
	lastUsed    core.Instant
	// waits holds, by key, the callers that wait for the outcome of a running attempt.
	waits map[string]*outcomeWait
	// wake has an element after an op was queued.
	wake chan struct{}

	// The fields below belong to the running task, or to the holder of mu while no task is running.
	deduper    *Deduper
	head       *head
	indexes    map[int64]index
	headLoaded bool
	prefix     string
	service    string
	cacheBytes int
	// layoutChecked means that the stored layout of the service was found to match this package.
	layoutChecked bool
	// contended is the number of further batches that read the head before writing it.
	contended int
	// untriedSegment is the lowest segment number that this process has not tried to write.
	untriedSegment int64
	version        int64
}

// abandon marks the op of a caller whose context has ended and returns err, or the result if one was already sent.
func (s *shard) abandon(o *op, err error) opResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case r := <-o.done:
		return r
	default:
		o.abandoned = true
		return opResult{err: err}
	}
}

// enqueue queues an op and starts the task of the shard if necessary. It returns false if the queue is full or the
// Deduper is closed.
func (s *shard) enqueue(o *op) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ops) >= maxQueuedOps || !s.deduper.startTask(s) {
		return false
	}
	o.queuedAt = s.deduper.config.Timer.Now()
	s.ops = append(s.ops, o)
	s.lastUsed = o.queuedAt
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// cacheUsage returns the size of the cache in bytes, the time of its last use, and whether no task is using it.
func (s *shard) cacheUsage() (size int, used core.Instant, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taskRunning {
		return 0, s.lastUsed, false
	}
	return s.cacheBytes, s.lastUsed, true
}

// commit decides a batch and writes the new head. After a conflict or an unknown result it reads the head and decides
// again, until the write succeeds, the store fails or maxRounds is reached.
func (s *shard) commit(batch []*op) error {
	if len(batch) == 0 {
		return nil
	}
	if s.contended > 0 {
		s.headLoaded = false
	}
	for range maxRounds {
		fresh := !s.headLoaded
		if fresh {
			if err := s.loadHead(); err != nil {
				return err
			}
		}
		batch = s.dropAbandoned(batch)
		p, err := s.planBatch(batch)
		if err != nil {
			if !fresh {
				s.headLoaded = false
				continue
			}
			return err
		}
		if p.needsFreshHead && !fresh {
			s.headLoaded = false
			continue
		}
		if p.changed {
			err = s.writeHead(p)
		}
		switch {
		case err == nil:
			s.deliver(batch, p)
			return nil
		case errors.Is(err, core.ErrConflict):
			s.headLoaded = false
			s.contended = contendedBatches
		case errors.Is(err, core.ErrUnavailable), errors.Is(err, core.ErrTooLarge):
			s.headLoaded = false
			return err
		default:
			s.markUnknown(batch, err)
		}
	}
	return errContended
}

// deliver sends the results of a decided batch to its callers.
func (s *shard) deliver(batch []*op, p *plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deduper.ops.Add(int64(len(batch)))
	for i, o := range batch {
		r := p.results[i]
		if o.kind == opBegin && o.abandoned && r.result.State == core.DedupNew {
			s.ops = append(s.ops, o.toRelease())
			continue
		}
		if o.kind == opRelease && o.writeUnknown {
			event.DedupReleased.Write(s.deduper.config.Log, zap.String("attempt", o.request.Attempt))
		}
		if o.kind == opBegin && !o.abandoned && r.result.State == core.DedupRunning {
			r.wait = s.joinWait(o)
		}
		o.respond(r)
		if o.kind != opBegin && r.err == nil {
			s.endWait(o)
		}
	}
}

// dropAbandoned removes the abandoned Begins from a batch, except those that may have a record, which become releases.
// Otherwise a Begin that conflicts after its caller has returned would write a record in a later round, and removing that
// record would take another write.
func (s *shard) dropAbandoned(batch []*op) []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	isAbandonedBegin := func(o *op) bool { return o.kind == opBegin && o.abandoned }
	if !slices.ContainsFunc(batch, isAbandonedBegin) {
		return batch
	}
	return slices.DeleteFunc(slices.Clone(batch), func(o *op) bool {
		if !isAbandonedBegin(o) {
			return false
		}
		if o.mayHaveRecord() {
			o.toRelease()
			return false
		}
		return true
	})
}

// failBatch returns an error to the callers of a batch, and requeues the outcomes and releases that must still be
// written.
func (s *shard) failBatch(batch []*op, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var requeued []*op
	size := 0
	for _, o := range batch {
		o.respond(opResult{err: err})
		if size += outcomeBytes(o.outcome); size > maxRequeuedBytes {
			o.outcome.Body, o.outcome.Header, o.outcome.Truncated = nil, nil, true
		}
		if o.kind == opBegin {
			if !o.mayHaveRecord() {
				continue
			}
			o.toRelease()
		}
		requeued = append(requeued, o)
	}
	s.ops = append(requeued, s.ops...)
	if excess := len(s.ops) - maxQueuedOps; excess > 0 {
		event.DedupDropped.Write(s.deduper.config.Log, zap.Int("count", excess), zap.Error(err))
		s.ops = slices.Delete(s.ops, 0, excess)
	}
}

// dropCache drops the cache of the shard if it is idle.
func (s *shard) dropCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taskRunning {
		return
	}
	s.head, s.indexes, s.headLoaded, s.cacheBytes = nil, map[int64]index{}, false, 0
}

// linger returns the remaining time for which the queued ops may wait for another op. It is 0 if the queue has an op other
// than the outcome of a request that may have run; such an op is written without delay.
func (s *shard) linger() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ops) == 0 || s.deduper.config.FinishLinger <= 0 {
		return 0
	}
	for _, o := range s.ops {
		if o.kind != opFinish || o.outcome.Ran == core.RanNo {
			return 0
		}
	}
	return s.deduper.config.FinishLinger - s.deduper.config.Timer.Now().Sub(s.ops[0].queuedAt)
}

// nextBatch removes the ops of the next write from the queue. If the queue is empty, it marks the task as ended and
// returns nil.
func (s *shard) nextBatch() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ops) == 0 {
		s.taskRunning = false
		return nil
	}
	n, size := 0, 0
	for n < len(s.ops) && size < maxBatchBytes-maxOutcomeBytes {
		size += outcomeBytes(s.ops[n].outcome)
		n++
	}
	batch := slices.Clone(s.ops[:n])
	s.ops = slices.Delete(s.ops, 0, n)
	return batch
}

// pause waits for the given time or until an op is queued, and returns false if the Deduper is closed.
func (s *shard) pause(d time.Duration) bool {
	select {
	case <-s.deduper.ctx.Done():
		return false
	case <-s.wake:
	case <-s.deduper.config.Timer.After(d):
	}
	return true
}

// planBatch decides a batch based on the loaded head.
func (s *shard) planBatch(batch []*op) (*plan, error) {
	p := &plan{head: s.head.clone(), nowMs: s.deduper.config.UnixMs()}
	for _, o := range batch {
		var r opResult
		var err error
		switch o.kind {
		case opBegin:
			r.result, err = p.begin(o, s.findSealed)
		case opFinish:
			r, err = p.finish(o, s.findSealed)
		default:
			p.release(o, s.version)
		}
		if err != nil {
			return nil, err
		}
		p.results = append(p.results, r)
	}
	return p, nil
}

// run writes batches until the queue is empty.
func (s *shard) run() {
	backoff := minBackoff
	for {
		for d := s.linger(); d > 0 && s.pause(d); {
			d = s.linger()
		}
		batch := s.nextBatch()
		if batch == nil {
			return
		}
		err := s.commit(batch)
		if err == nil {
			backoff = minBackoff
			continue
		}
		s.failBatch(batch, err)
		s.clearWake()
		if !s.pause(backoff) {
			s.failQueued()
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// clearWake empties the wake channel unless a Begin is queued, so that ops of a failed batch alone do not cut the
// backoff short.
func (s *shard) clearWake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.ops {
		if o.kind == opBegin {
			return
		}
	}
	select {
	case <-s.wake:
	default:
	}
}

// failQueued returns errClosed to the callers of all queued ops and marks the task as ended.
func (s *shard) failQueued() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.ops {
		o.respond(opResult{err: errClosed})
	}
	s.ops = nil
	s.taskRunning = false
}

// markUnknown records that the last write of a batch may have taken effect or may still do so.
func (s *shard) markUnknown(batch []*op, err error) {
	event.DedupOutcomeUnknown.Write(s.deduper.config.Log, zap.String("shard", s.prefix), zap.Error(err))
	for _, o := range batch {
		o.writeUnknown = true
		o.unknownWriteVersion = s.version
	}
	s.headLoaded = false
}
