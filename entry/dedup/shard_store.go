package dedup

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ebonyrouter.dev/core"
)

const (
	// storeTimeout bounds one store call, so that a call without a response does not block a shard.
	storeTimeout = 2 * time.Second
	// sealBytes is the head size above which records move to a segment, because each write sends the whole head.
	sealBytes = 64 << 10
	// runningRecordBytes is the typical size of a record without an outcome. Such records stay in the head and do not
	// count towards sealBytes; otherwise a head full of them would be sealed at each write.
	runningRecordBytes = 128
	// mergeSegments is the number of small segments that triggers a merge, if they fit into one object. Every
	// write sends the list of segments, and a process must read all of them before it can decide that a key is new.
	mergeSegments = 4
	// smallSegmentBytes is the size below which a segment may be merged, and maxSegmentBytes bounds the merged segment.
	smallSegmentBytes = 3 * sealBytes
	maxSegmentBytes   = 960 << 10
	// maxSegmentReads bounds the segments that a process reads concurrently when it first uses a shard. At 4 ms per read
	// this is at most the 2000 reads a second that the store handles.
	maxSegmentReads = 8
)

// deleteSegments deletes segments that no head refers to. A segment that remains after a failure only takes up space.
func (s *shard) deleteSegments(numbers []int64) {
	for _, n := range numbers {
		ctx, cancel := context.WithTimeout(s.deduper.ctx, storeTimeout)
		if o, err := s.deduper.config.Store.Get(ctx, s.segmentKey(n)); err == nil {
			_ = s.deduper.config.Store.Delete(ctx, o.Key, o.Version)
		}
		cancel()
	}
}

// get reads an object of the service.
func (s *shard) get(key string) (core.Object, error) {
	ctx, cancel := context.WithTimeout(s.deduper.ctx, storeTimeout)
	defer cancel()
	return s.deduper.config.Store.Get(ctx, key)
}

// loadHead reads the head; the first call also checks the layout of the service.
func (s *shard) loadHead() error {
	if !s.layoutChecked {
		if err := s.ensureLayout(); err != nil {
			return err
		}
		s.layoutChecked = true
	}
	o, err := s.get(s.prefix + "head")
	if errors.Is(err, core.ErrNotFound) {
		o, err = core.Object{}, nil
	}
	if err != nil {
		return errors.Annotate(err, "cannot read head")
	}
	h := &head{}
	if o.Version != 0 {
		if h, err = decodeHead(o.Value); err != nil {
			return err
		}
	}
	if o.Version != s.version {
		s.contended = contendedBatches
	} else {
		s.contended--
	}
	s.head, s.version, s.headLoaded = h, o.Version, true
	s.pruneIndexes(len(o.Value))
	return nil
}

// pruneIndexes drops the indexes of segments that the head no longer lists, and updates the size of the cache.
func (s *shard) pruneIndexes(headBytes int) {
	indexes := make(map[int64]index, len(s.head.Sealed))
	size := headBytes
	for _, segment := range s.head.Sealed {
		if x, ok := s.indexes[segment.Number]; ok {
			indexes[segment.Number] = x
			size += 8 * len(x)
		}
	}
	s.indexes, s.cacheBytes = indexes, size
}

// merge adds the records of small segments to final, and returns all of them and the merged segments. If a
// segment cannot be read, nothing is merged, and a later seal tries again.
func (s *shard) merge(p *plan, final []record) ([]record, []sealedSegment) {
	data, err := msgpack.Marshal(final)
	if err != nil {
		return final, nil
	}
	merged := p.head.mergeable(len(data))
	all := slices.Clone(final)
	for _, segment := range merged {
		records, err := s.readSegment(segment.Number)
		if err != nil {
			return final, nil
		}
		all = append(all, slices.DeleteFunc(records, func(r record) bool { return r.expired(p.nowMs) })...)
	}
	return all, merged
}

// put encodes and writes an object of the service if it still has the given version, and returns the encoded size and
// the new version.
func (s *shard) put(key string, value any, version int64) (int, int64, error) {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return 0, 0, errors.WithType(err, core.ErrTooLarge)
	}
	version, err = s.putBytes(key, data, version)
	return len(data), version, err
}

// putBytes writes an encoded object if it still has the given version, and returns the new version.
func (s *shard) putBytes(key string, data []byte, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(s.deduper.ctx, storeTimeout)
	defer cancel()
	s.deduper.writes.Add(1)
	return s.deduper.config.Store.Put(ctx, key, data, version)
}

// putSegment writes a new segment and returns its size. After a lost response it reads the segment back to find out
// whether the write took effect.
func (s *shard) putSegment(number int64, records []record) (int, error) {
	data, err := msgpack.Marshal(records)
	if err != nil {
		return 0, errors.WithType(err, core.ErrTooLarge)
	}
	_, err = s.putBytes(s.segmentKey(number), data, 0)
	if err == nil || errors.Is(err, core.ErrUnavailable) || errors.Is(err, core.ErrTooLarge) {
		return len(data), err
	}
	if errors.Is(err, core.ErrUncertain) {
		o, readErr := s.get(s.segmentKey(number))
		if readErr == nil && bytes.Equal(o.Value, data) {
			return len(data), nil
		}
	}
	// The number is in use, or the write may still take effect. No head refers to this segment, and the next round uses
	// the next number.
	return 0, errors.WithType(err, core.ErrConflict)
}

// seal writes the records that can no longer change to a new segment and adds it to the head of the plan.
func (s *shard) seal(p *plan) error {
	firstNumber := p.head.NextSegment
	final := p.extractFinal()
	if len(final) == 0 {
		return nil
	}
	final, merged := s.merge(p, final)
	number := max(firstNumber, s.untriedSegment)
	s.untriedSegment = number + 1
	size, err := s.putSegment(number, final)
	if err != nil {
		return err
	}
	for n := firstNumber; n < number; n++ {
		p.garbage = append(p.garbage, n)
	}
	p.head.Sealed = p.head.Sealed[:len(p.head.Sealed)-len(merged)]
	for _, m := range merged {
		p.garbage = append(p.garbage, m.Number)
	}
	expiresMs := int64(0)
	for i := range final {
		expiresMs = max(expiresMs, final[i].ExpiresMs)
	}
	p.head.Sealed = append(p.head.Sealed, sealedSegment{Bytes: size, ExpiresMs: expiresMs, Number: number})
	p.head.NextSegment = number + 1
	s.indexes[number] = newIndex(final)
	return nil
}

// readIndexes builds the missing indexes by reading up to maxSegmentReads segments at a time. After an error it keeps the
// indexes of the segments that it could read.
func (s *shard) readIndexes() error {
	var missing []int64
	for _, segment := range s.head.Sealed {
		if _, ok := s.indexes[segment.Number]; !ok {
			missing = append(missing, segment.Number)
		}
	}
	indexes := make([]index, len(missing))
	failures := make([]error, len(missing))
	readSlots := make(chan struct{}, maxSegmentReads)
	var reads sync.WaitGroup
	for i, number := range missing {
		readSlots <- struct{}{}
		reads.Go(func() {
			defer func() { <-readSlots }()
			var records []record
			records, failures[i] = s.readSegment(number)
			indexes[i] = newIndex(records)
		})
	}
	reads.Wait()
	var failure error
	for i, number := range missing {
		if failures[i] != nil {
			failure = failures[i]
			continue
		}
		s.indexes[number] = indexes[i]
		s.cacheBytes += 8 * len(indexes[i])
	}
	return failure
}

// readSegment reads the records of a segment.
func (s *shard) readSegment(number int64) ([]record, error) {
	o, err := s.get(s.segmentKey(number))
	if err != nil {
		return nil, errors.Annotatef(err, "cannot read segment %d", number)
	}
	return decodeRecords(o.Value)
}

// findSealed returns the unexpired record for a key from the sealed segments, or nil if there is none.
func (s *shard) findSealed(key []byte) (*record, error) {
	if err := s.readIndexes(); err != nil {
		return nil, err
	}
	for _, segment := range s.head.Sealed {
		if !s.indexes[segment.Number].mayContain(key) {
			continue
		}
		records, err := s.readSegment(segment.Number)
		if err != nil {
			return nil, err
		}
		if i := findRecord(records, key); i >= 0 && !records[i].expired(s.deduper.config.UnixMs()) {
			return &records[i], nil
		}
	}
	return nil, nil
}

// segmentKey returns the store key of a segment.
func (s *shard) segmentKey(number int64) string {
	return s.prefix + "seg-" + strconv.FormatInt(number, 10)
}

// writeHead writes the head of a plan, after moving records to a segment if the head is large. Then it deletes the segments
// that are no longer used.
func (s *shard) writeHead(p *plan) error {
	data, err := msgpack.Marshal(p.head)
	if err != nil {
		return errors.WithType(err, core.ErrTooLarge)
	}
	if len(data) > sealBytes+2*runningRecordBytes*p.head.runningCount() {
		if err := s.seal(p); err != nil {
			return err
		}
	}
	size, version, err := s.put(s.prefix+"head", p.head, s.version)
	if err != nil {
		return err
	}
	s.head, s.version = p.head, version
	s.pruneIndexes(size)
	s.deleteSegments(p.garbage)
	return nil
}
