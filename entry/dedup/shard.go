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
	// maxWaiting bounds the ops of a shard that wait for a write, and so the memory of an outage. 512 were exceeded by
	// a pause of 80 ms at 3200 bookings a second.
	maxWaiting = 4096
	// maxBatchBytes bounds the answers that one write carries; with the head it stays below the largest object.
	maxBatchBytes = 512 << 10
	// maxKeptBytes bounds the answers of a shard that are kept for a later write while the store is away.
	maxKeptBytes = 64 << 10
	// maxRounds bounds the decisions on one batch after conflicts and lost answers.
	maxRounds = 32
	// sharedReads is the number of batches that read the head before they write it after another process has
	// written it: a read is cheaper than a write that conflicts, of which the store takes fewer.
	sharedReads = 16
	// firstPause and longestPause bound the pause after a failure of the store.
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
)

// errContended is the error of a batch that lost every round to other writers.
const errContended = errors.ConstError("other processes write the shard all the time")

// shard groups the ops of its keys into conditional writes, one at a time.
type shard struct {
	mu      sync.Mutex
	ops     []*op
	running bool
	used    core.Instant
	// waits holds, by key, the callers that wait for the outcome of a running attempt.
	waits map[string]*outcomeWait
	wake  chan struct{}

	// The fields below belong to the running task, or to the holder of mu while none runs.
	deduper *Deduper
	head    *head
	indexes map[int64]index
	loaded  bool
	prefix  string
	service string
	size    int
	// checked means that the layout of the service is the one of this package.
	checked bool
	// shared counts down the reads before writes after a sign of another writer.
	shared int
	// skip is the lowest segment number that this process has not tried to write.
	skip    int64
	version int64
}

// abandon answers a caller whose context has ended, with the result if there is one already.
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

// add queues an op and starts the task of the shard if none runs.
func (s *shard) add(o *op) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ops) >= maxWaiting || !s.deduper.start(s) {
		return false
	}
	o.added = s.deduper.config.Timer.Now()
	s.ops = append(s.ops, o)
	s.used = o.added
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// cached returns the size of the cache, the time of its last use and whether no task uses it.
func (s *shard) cached() (size int, used core.Instant, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		return 0, s.used, false
	}
	return s.size, s.used, true
}

// commit decides on a batch and writes the decisions until they hold or the store fails.
func (s *shard) commit(batch []*op) error {
	if len(batch) == 0 {
		return nil
	}
	if s.shared > 0 {
		s.loaded = false
	}
	for range maxRounds {
		fresh := !s.loaded
		if fresh {
			if err := s.load(); err != nil {
				return err
			}
		}
		batch = s.dropAbandoned(batch)
		p, err := s.plan(batch)
		if err != nil {
			if !fresh {
				s.loaded = false
				continue
			}
			return err
		}
		if p.stale && !fresh {
			s.loaded = false
			continue
		}
		if p.changed {
			err = s.write(p)
		}
		switch {
		case err == nil:
			s.deliver(batch, p)
			return nil
		case errors.Is(err, core.ErrConflict):
			s.loaded = false
			s.shared = sharedReads
		case errors.Is(err, core.ErrUnavailable), errors.Is(err, core.ErrTooLarge):
			s.loaded = false
			return err
		default:
			s.uncertain(batch, err)
		}
	}
	return errContended
}

// deliver answers the callers of a batch that is decided.
func (s *shard) deliver(batch []*op, p *plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deduper.ops.Add(int64(len(batch)))
	for i, o := range batch {
		r := p.results[i]
		if o.kind == opBegin && o.abandoned && r.result.State == core.DedupNew {
			s.ops = append(s.ops, o.release())
			continue
		}
		if o.kind == opRelease && o.maybe {
			event.DedupReleased.Write(s.deduper.config.Log, zap.String("attempt", o.request.Attempt))
		}
		if o.kind == opBegin && !o.abandoned && r.result.State == core.DedupRunning {
			r.running = s.join(o)
		}
		o.answer(r)
		if o.kind != opBegin && r.err == nil {
			s.wakeWaiting(o)
		}
	}
}

// dropAbandoned takes the Begins out of a batch whose callers have left, and turns those into releases that may hold a
// record. A Begin that loses a round after its caller has left would otherwise write a record in a later round, which
// only another write removes.
func (s *shard) dropAbandoned(batch []*op) []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := func(o *op) bool { return o.kind == opBegin && o.abandoned }
	if !slices.ContainsFunc(batch, left) {
		return batch
	}
	return slices.DeleteFunc(slices.Clone(batch), func(o *op) bool {
		if !left(o) {
			return false
		}
		if o.mayHold() {
			o.release()
			return false
		}
		return true
	})
}

// fail answers the callers of a batch with an error and keeps what must still be recorded.
func (s *shard) fail(batch []*op, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []*op
	size := 0
	for _, o := range batch {
		o.answer(opResult{err: err})
		if size += answerBytes(o.outcome); size > maxKeptBytes {
			o.outcome.Body, o.outcome.Header, o.outcome.Truncated = nil, nil, true
		}
		if o.kind == opBegin {
			if !o.mayHold() {
				continue
			}
			o.release()
		}
		kept = append(kept, o)
	}
	s.ops = append(kept, s.ops...)
	if over := len(s.ops) - maxWaiting; over > 0 {
		event.DedupDropped.Write(s.deduper.config.Log, zap.Int("count", over), zap.Error(err))
		s.ops = slices.Delete(s.ops, 0, over)
	}
}

// forget drops the cache of an idle shard.
func (s *shard) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		return
	}
	s.head, s.indexes, s.loaded, s.size = nil, map[int64]index{}, false, 0
}

// linger returns how long the outcomes that wait may still wait for another op.
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
	return s.deduper.config.FinishLinger - s.deduper.config.Timer.Now().Sub(s.ops[0].added)
}

// next returns the ops of the next write, or nil after marking the task as ended.
func (s *shard) next() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ops) == 0 {
		s.running = false
		return nil
	}
	n, size := 0, 0
	for n < len(s.ops) && size < maxBatchBytes-maxAnswerBytes {
		size += answerBytes(s.ops[n].outcome)
		n++
	}
	batch := slices.Clone(s.ops[:n])
	s.ops = slices.Delete(s.ops, 0, n)
	return batch
}

// pause waits before the next try, or for a new op, and reports whether the task should go on.
func (s *shard) pause(d time.Duration) bool {
	select {
	case <-s.deduper.ctx.Done():
		return false
	case <-s.wake:
	case <-s.deduper.config.Timer.After(d):
	}
	return true
}

// plan decides on a batch from the loaded head.
func (s *shard) plan(batch []*op) (*plan, error) {
	p := &plan{head: s.head.clone(), nowMs: s.deduper.config.UnixMs()}
	for _, o := range batch {
		var r opResult
		var err error
		switch o.kind {
		case opBegin:
			r.result, err = p.begin(o, s.sealed)
		case opFinish:
			r, err = p.finish(o, s.sealed)
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

// run writes batches until no op waits.
func (s *shard) run() {
	wait := firstPause
	for {
		for d := s.linger(); d > 0 && s.pause(d); {
			d = s.linger()
		}
		batch := s.next()
		if batch == nil {
			return
		}
		err := s.commit(batch)
		if err == nil {
			wait = firstPause
			continue
		}
		s.fail(batch, err)
		s.drain()
		if !s.pause(wait) {
			s.stop()
			return
		}
		wait = min(2*wait, longestPause)
	}
}

// drain empties the wake channel unless a Begin waits, so that kept ops alone do not end the pause.
func (s *shard) drain() {
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

// stop answers all waiting ops when the Deduper is closed.
func (s *shard) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.ops {
		o.answer(opResult{err: errClosed})
	}
	s.ops = nil
	s.running = false
}

// uncertain notes that the write of a batch may have taken effect or may still do so.
func (s *shard) uncertain(batch []*op, err error) {
	event.DedupUncertain.Write(s.deduper.config.Log, zap.String("shard", s.prefix), zap.Error(err))
	for _, o := range batch {
		o.maybe = true
		o.fence = s.version
	}
	s.loaded = false
}
