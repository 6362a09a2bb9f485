package dedup

import (
	"bytes"
	"slices"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ebonyrouter.dev/core"
)

var _ core.Validator = (*head)(nil)

// head is the mutable object of a shard. Records holds the records that are not in a segment, Sealed lists the segments
// in use, and NextSegment is the number of the next one.
type head struct {
	Records     []record        `msgpack:"records"`
	Sealed      []sealedSegment `msgpack:"sealed"`
	NextSegment int64           `msgpack:"segment"`
}

// sealedSegment refers to an immutable segment; a stored segment without a reference in the head is ignored.
type sealedSegment struct {
	Bytes     int   `msgpack:"bytes"`
	ExpiresMs int64 `msgpack:"expires_ms"`
	Number    int64 `msgpack:"number"`
}

// Validate implements core.Validator.Validate.
func (h *head) Validate() error {
	for i := range h.Records {
		if err := h.Records[i].Validate(); err != nil {
			return err
		}
	}
	for _, s := range h.Sealed {
		if s.Number >= h.NextSegment {
			return errors.Errorf("sealed segment %d is not below the next segment %d", s.Number, h.NextSegment)
		}
	}
	return nil
}

// clone returns a copy with its own lists; the contents of the records are shared.
func (h *head) clone() *head {
	return &head{Records: slices.Clone(h.Records), Sealed: slices.Clone(h.Sealed), NextSegment: h.NextSegment}
}

// find returns the index of the record for key, or -1.
func (h *head) find(key []byte) int {
	return findRecord(h.Records, key)
}

// mergeable returns the newest sealed segments that are small enough to be merged, together with size bytes of new
// records, into one segment. It returns nil if there are fewer than mergeSegments.
func (h *head) mergeable(size int) []sealedSegment {
	first := len(h.Sealed)
	for first > 0 {
		s := h.Sealed[first-1]
		if s.Bytes >= smallSegmentBytes || size+s.Bytes > maxSegmentBytes {
			break
		}
		size += s.Bytes
		first--
	}
	if len(h.Sealed)-first < mergeSegments {
		return nil
	}
	return h.Sealed[first:]
}

// runningCount returns the number of records whose attempt has no recorded outcome.
func (h *head) runningCount() int {
	count := 0
	for i := range h.Records {
		if h.Records[i].State == core.DedupRunning {
			count++
		}
	}
	return count
}

// decodeHead decodes and validates a head.
func decodeHead(data []byte) (*head, error) {
	h := &head{}
	if err := msgpack.Unmarshal(data, h); err != nil {
		return nil, errors.Annotate(err, "cannot decode head")
	}
	return h, errors.Annotate(h.Validate(), "invalid head")
}

// decodeRecords decodes and validates the records of a segment.
func decodeRecords(data []byte) ([]record, error) {
	var records []record
	if err := msgpack.Unmarshal(data, &records); err != nil {
		return nil, errors.Annotate(err, "cannot decode segment")
	}
	for i := range records {
		if err := records[i].Validate(); err != nil {
			return nil, errors.Annotate(err, "invalid segment")
		}
	}
	return records, nil
}

// findRecord returns the index of the record for key, or -1.
func findRecord(records []record, key []byte) int {
	return slices.IndexFunc(records, func(r record) bool { return bytes.Equal(r.Key, key) })
}
