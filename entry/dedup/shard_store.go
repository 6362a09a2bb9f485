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
	// storeTimeout bounds one call of the store, so that a call that is never answered does not stop a shard.
	storeTimeout = 2 * time.Second
	// sealBytes is the size from which a head is sealed; each write carries the whole head.
	sealBytes = 64 << 10
	// runningBytes is the usual size of a record without outcome; these stay in the head, so that a head that
	// consists of them would be sealed at each write if they counted.
	runningBytes = 128
	// mergeSegments is the number of small segments from which they are merged, if they fit into one object. Every write carries the list of
	// segments, and a process must read all of them before it can tell that a key is new.
	mergeSegments     = 4
	smallSegmentBytes = 3 * sealBytes
	maxSegmentBytes   = 960 << 10
	// maxReads bounds the segments that a process reads at once when it first uses a shard. At 4 ms a read they stay
	// within the two thousand reads a second of the store.
	maxReads = 8
)

// clean deletes segments that no head names; what remains after a failure only takes space.
func (s *shard) clean(numbers []int64) {
	for _, n := range numbers {
		ctx, cancel := context.WithTimeout(s.deduper.ctx, storeTimeout)
		if o, err := s.deduper.config.Store.Get(ctx, s.segmentKey(n)); err == nil {
			_ = s.deduper.config.Store.Delete(ctx, o.Key, o.Version)
		}
		cancel()
	}
}

// get reads one object of the shard.
func (s *shard) get(key string) (core.Object, error) {
	ctx, cancel := context.WithTimeout(s.deduper.ctx, storeTimeout)
	defer cancel()
	return s.deduper.config.Store.Get(ctx, key)
}

// load reads the head.
func (s *shard) load() error {
	if !s.checked {
		if err := s.checkLayout(); err != nil {
			return err
		}
		s.checked = true
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
		s.shared = sharedReads
	} else {
		s.shared--
	}
	s.head, s.version, s.loaded = h, o.Version, true
	s.keep(len(o.Value))
	return nil
}

// keep forgets the indexes of segments that have left the head and counts the memory of the shard.
func (s *shard) keep(headBytes int) {
	kept := make(map[int64]index, len(s.head.Sealed))
	size := headBytes
	for _, sealed := range s.head.Sealed {
		if x, ok := s.indexes[sealed.Number]; ok {
			kept[sealed.Number] = x
			size += 8 * len(x)
		}
	}
	s.indexes, s.size = kept, size
}

// merge adds the records of small segments to those that are sealed now; a later seal tries again after a failure.
func (s *shard) merge(p *plan, sealed []record) ([]record, []sealedSegment) {
	data, err := msgpack.Marshal(sealed)
	if err != nil {
		return sealed, nil
	}
	merged := p.head.mergeable(len(data))
	all := slices.Clone(sealed)
	for _, segment := range merged {
		records, err := s.readSegment(segment.Number)
		if err != nil {
			return sealed, nil
		}
		all = append(all, slices.DeleteFunc(records, func(r record) bool { return r.expired(p.nowMs) })...)
	}
	return all, merged
}

// put writes one object of the shard on condition of its version.
func (s *shard) put(key string, value any, version int64) (int, int64, error) {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return 0, 0, errors.WithType(err, core.ErrTooLarge)
	}
	version, err = s.putBytes(key, data, version)
	return len(data), version, err
}

// putBytes writes one encoded object of the shard on condition of its version.
func (s *shard) putBytes(key string, data []byte, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(s.deduper.ctx, storeTimeout)
	defer cancel()
	s.deduper.writes.Add(1)
	return s.deduper.config.Store.Put(ctx, key, data, version)
}

// putSegment writes a new segment; a lost answer is resolved by reading the segment back.
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
	// The number is taken, or the write may still take effect. No head names this segment; the next round uses the next
	// number.
	return 0, errors.WithType(err, core.ErrConflict)
}

// seal writes the records that cannot change any more to a new segment, which the plan's head then names.
func (s *shard) seal(p *plan) error {
	base := p.head.Segment
	sealed := p.split()
	if len(sealed) == 0 {
		return nil
	}
	sealed, merged := s.merge(p, sealed)
	number := max(base, s.skip)
	s.skip = number + 1
	size, err := s.putSegment(number, sealed)
	if err != nil {
		return err
	}
	for n := base; n < number; n++ {
		p.garbage = append(p.garbage, n)
	}
	p.head.Sealed = p.head.Sealed[:len(p.head.Sealed)-len(merged)]
	for _, m := range merged {
		p.garbage = append(p.garbage, m.Number)
	}
	expires := int64(0)
	for i := range sealed {
		expires = max(expires, sealed[i].ExpiresMs)
	}
	p.head.Sealed = append(p.head.Sealed, sealedSegment{Bytes: size, ExpiresMs: expires, Number: number})
	p.head.Segment = number + 1
	s.indexes[number] = newIndex(sealed)
	return nil
}

// readIndexes reads the indexes that are missing, several at a time, and keeps those that it could read.
func (s *shard) readIndexes() error {
	var missing []int64
	for _, segment := range s.head.Sealed {
		if _, ok := s.indexes[segment.Number]; !ok {
			missing = append(missing, segment.Number)
		}
	}
	indexes := make([]index, len(missing))
	failures := make([]error, len(missing))
	slots := make(chan struct{}, maxReads)
	var reads sync.WaitGroup
	for i, number := range missing {
		slots <- struct{}{}
		reads.Go(func() {
			defer func() { <-slots }()
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
		s.size += 8 * len(indexes[i])
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

// sealed looks a key up in the sealed segments.
func (s *shard) sealed(key []byte) (*record, error) {
	if err := s.readIndexes(); err != nil {
		return nil, err
	}
	for _, segment := range s.head.Sealed {
		if !s.indexes[segment.Number].mayHave(key) {
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

func (s *shard) segmentKey(number int64) string {
	return s.prefix + "seg-" + strconv.FormatInt(number, 10)
}

// write puts the head of a plan, after sealing it if it is large.
func (s *shard) write(p *plan) error {
	data, err := msgpack.Marshal(p.head)
	if err != nil {
		return errors.WithType(err, core.ErrTooLarge)
	}
	if len(data) > sealBytes+2*runningBytes*p.head.running() {
		if err := s.seal(p); err != nil {
			return err
		}
	}
	size, version, err := s.put(s.prefix+"head", p.head, s.version)
	if err != nil {
		return err
	}
	s.head, s.version = p.head, version
	s.keep(size)
	s.clean(p.garbage)
	return nil
}
