package dedup

import "ebonyrouter.dev/core"

// opKind is the kind of change that an op makes to the record of its key.
type opKind int

const (
	opBegin opKind = iota
	opFinish
	// opRelease removes the record of an attempt that never runs, because its Begin returned an error.
	opRelease
)

// op is a change to one record, queued for the next write of its shard.
type op struct {
	// abandoned means that the caller has returned with an error before the result was known. The shard's mutex guards it.
	abandoned bool
	queuedAt  core.Instant
	done      chan opResult
	// unknownWriteVersion is the head version that the latest write with an unknown result was conditional on; it is only
	// valid if writeUnknown is set.
	unknownWriteVersion int64
	fingerprint         []byte
	key                 []byte
	kind                opKind
	// lowerTryUnknown means that the response to a lower try is missing, so that try may have left a record.
	lowerTryUnknown bool
	// writeUnknown means that the result of a write of this op is unknown.
	writeUnknown bool
	outcome      core.DedupOutcome
	request      core.DedupRequest
}

// opResult is the result that the caller of an op receives. If wait is set, the caller may use it to wait for the
// outcome of another attempt.
type opResult struct {
	err    error
	result core.DedupResult
	wait   *outcomeWait
}

func newOp(kind opKind, request core.DedupRequest, outcome core.DedupOutcome) *op {
	return &op{
		done:        make(chan opResult, 1),
		fingerprint: hashOf(request.Fingerprint),
		key:         hashOf(request.Service, request.Tenant, request.Key),
		kind:        kind,
		outcome:     truncateLarge(outcome),
		request:     request,
	}
}

// respond sends the result to the caller; only the first result counts.
func (o *op) respond(r opResult) {
	select {
	case o.done <- r:
	default:
	}
}

// mayHaveRecord reports whether the attempt of a failed Begin may have a record: from a write with an unknown result, or
// from a lower try whose response is missing.
func (o *op) mayHaveRecord() bool {
	return o.writeUnknown || o.lowerTryUnknown
}

// toRelease turns the op into an opRelease, which removes the record that the op may have written.
func (o *op) toRelease() *op {
	o.kind = opRelease
	return o
}
