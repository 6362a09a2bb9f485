package dedup

import "ebonyrouter.dev/core"

// opKind is what an op does to the record of its key.
type opKind int

const (
	opBegin opKind = iota
	opFinish
	// opRelease removes the record of an attempt that was told an error and therefore never runs.
	opRelease
)

// op is one change that waits for a write of its shard.
type op struct {
	// abandoned means that the caller has left with an error; the shard's mutex guards it.
	abandoned bool
	added     core.Instant
	done      chan opResult
	// fence is the version that the newest write of unknown outcome was conditional on, if maybe is set.
	fence       int64
	fingerprint []byte
	key         []byte
	kind        opKind
	// lower means that a lower try, whose answer is missing, may hold a record.
	lower   bool
	maybe   bool
	outcome core.DedupOutcome
	request core.DedupRequest
}

// opResult is the answer to the caller of an op; running is set if the caller may wait for the outcome of another attempt.
type opResult struct {
	err     error
	result  core.DedupResult
	running *outcomeWait
}

func newOp(kind opKind, request core.DedupRequest, outcome core.DedupOutcome) *op {
	return &op{
		done:        make(chan opResult, 1),
		fingerprint: hashOf(request.Fingerprint),
		key:         hashOf(request.Service, request.Tenant, request.Key),
		kind:        kind,
		outcome:     limited(outcome),
		request:     request,
	}
}

// answer ends the wait of the caller; later answers are dropped.
func (o *op) answer(r opResult) {
	select {
	case o.done <- r:
	default:
	}
}

// mayHold reports whether the attempt of a failed Begin may hold a record: by a write of unknown outcome, or by a
// lower try whose answer is missing.
func (o *op) mayHold() bool {
	return o.maybe || o.lower
}

// release turns the op into the removal of what it may have recorded.
func (o *op) release() *op {
	o.kind = opRelease
	return o
}
