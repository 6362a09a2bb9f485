package dedup

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

const (
	// hashBytes is the part of a SHA-256 that identifies a key or a fingerprint.
	hashBytes = 16
	// clockMarginMs is the difference between the clocks of hosts that expiry allows for.
	clockMarginMs = 60_000
	// runningMs is the age from which an attempt without outcome is reported as possibly run: its process has
	// ended or has lost the outcome. Neither state permits another attempt.
	runningMs = 60_000
	// maxAnswerBytes is the largest recorded body with header; larger answers are recorded as truncated.
	maxAnswerBytes = 64 << 10
)

var _ core.Validator = (*record)(nil)

// record is the state of one key; it is an array on the wire because names would double its size.
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

// expired reports whether the record no longer protects its key.
func (r *record) expired(nowMs int64) bool {
	return nowMs > r.ExpiresMs+clockMarginMs
}

// heldBy reports whether the record is of this attempt and of this or a lower try, whose answer nobody uses.
func (r *record) heldBy(request core.DedupRequest) bool {
	return r.Attempt == request.Attempt && r.Try <= request.Try
}

// result returns what another attempt is told about the record.
func (r *record) result(fingerprint []byte, nowMs int64) core.DedupResult {
	if string(fingerprint) != string(r.Fingerprint) {
		return core.DedupResult{State: core.DedupMismatch}
	}
	if r.State == core.DedupRunning && nowMs > r.BeganMs+runningMs {
		return core.DedupResult{State: core.DedupUnknown}
	}
	result := core.DedupResult{State: r.State}
	if r.Outcome != nil {
		result.Outcome = *r.Outcome
	}
	return result
}

// answerBytes returns the size of the body and the header.
func answerBytes(outcome core.DedupOutcome) int {
	size := len(outcome.Body)
	for name, values := range outcome.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

// limited returns the outcome without its body if it is too large to be recorded.
func limited(outcome core.DedupOutcome) core.DedupOutcome {
	if answerBytes(outcome) > maxAnswerBytes {
		outcome.Body, outcome.Header, outcome.Truncated = nil, nil, true
	}
	return outcome
}

// hashOf returns a hash of the parts, in which no two lists of parts run into each other.
func hashOf(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		_ = binary.Write(h, binary.BigEndian, int64(len(part)))
		h.Write([]byte(part))
	}
	return h.Sum(nil)[:hashBytes]
}
