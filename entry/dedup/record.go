package dedup

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

const (
	// hashBytes is the length of the SHA-256 prefix that identifies a key or a fingerprint.
	hashBytes = 16
	// maxClockSkewMs is the difference between the clocks of two hosts that expiry tolerates.
	maxClockSkewMs = 60_000
	// maxRunningMs is the age above which an attempt without an outcome is reported as DedupUnknown, because its process
	// has ended or has lost the outcome. Neither a running nor an unknown attempt permits another one.
	maxRunningMs = 60_000
	// maxOutcomeBytes bounds the body and header of a recorded response; larger responses are recorded as truncated.
	maxOutcomeBytes = 64 << 10
)

var _ core.Validator = (*record)(nil)

// record is the state of one key. It is encoded as an array, because field names would double its size.
type record struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection
	Attempt     string
	BeganMs     int64
	ExpiresMs   int64
	Fingerprint []byte
	Key         []byte
	Outcome     *core.DedupOutcome
	State       core.DedupState
	Try         int
}

// Validate implements core.Validator.Validate.
func (r *record) Validate() error {
	if len(r.Key) != hashBytes || len(r.Fingerprint) != hashBytes {
		return errors.Errorf("record of attempt %q has a hash of wrong length", r.Attempt)
	}
	switch r.State {
	case core.DedupRunning, core.DedupUnknown:
		return nil
	case core.DedupDone:
		if r.Outcome != nil {
			return nil
		}
		return errors.Errorf("record of attempt %q has no outcome", r.Attempt)
	default:
		return errors.Errorf("record of attempt %q has unknown state %q", r.Attempt, r.State)
	}
}

// expired reports whether the record has expired, so that its key may be used again.
func (r *record) expired(nowMs int64) bool {
	return nowMs > r.ExpiresMs+maxClockSkewMs
}

// ownedBy reports whether the record belongs to the attempt of the request, and to the same try or a lower one. The
// response to a lower try is no longer used.
func (r *record) ownedBy(request core.DedupRequest) bool {
	return r.Attempt == request.Attempt && r.Try <= request.Try
}

// result returns the state of the record as reported to another attempt with the given fingerprint.
func (r *record) result(fingerprint []byte, nowMs int64) core.DedupResult {
	if string(fingerprint) != string(r.Fingerprint) {
		return core.DedupResult{State: core.DedupMismatch}
	}
	if r.State == core.DedupRunning && nowMs > r.BeganMs+maxRunningMs {
		return core.DedupResult{State: core.DedupUnknown}
	}
	result := core.DedupResult{State: r.State}
	if r.Outcome != nil {
		result.Outcome = *r.Outcome
	}
	return result
}

// outcomeBytes returns the size of the body and the header of an outcome.
func outcomeBytes(outcome core.DedupOutcome) int {
	size := len(outcome.Body)
	for name, values := range outcome.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

// truncateLarge returns the outcome, without body and header if it is too large to be recorded.
func truncateLarge(outcome core.DedupOutcome) core.DedupOutcome {
	if outcomeBytes(outcome) > maxOutcomeBytes {
		outcome.Body, outcome.Header, outcome.Truncated = nil, nil, true
	}
	return outcome
}

// hashOf returns a hash of a list of strings. Each string is hashed with its length, so that different lists with the
// same concatenation have different hashes.
func hashOf(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		_ = binary.Write(h, binary.BigEndian, int64(len(part)))
		h.Write([]byte(part))
	}
	return h.Sum(nil)[:hashBytes]
}
