package core

import (
	"context"

	"github.com/juju/errors"
)

// DedupState is the state of one idempotency record.
type DedupState string

// States of an idempotency record.
const (
	// DedupNew means that this attempt created the record and is the only one that may run the request.
	DedupNew DedupState = "new"
	// DedupRunning means that another attempt owns the record and has not recorded an outcome yet.
	DedupRunning DedupState = "running"
	// DedupDone means that the outcome is recorded and can be replayed.
	DedupDone DedupState = "done"
	// DedupUnknown means that an attempt may have run and its outcome is lost.
	DedupUnknown DedupState = "unknown"
	// DedupMismatch means that the key was already used for a different request.
	DedupMismatch DedupState = "mismatch"
)

// Deduper records keyed non-idempotent requests so that each runs at most once.
type Deduper interface {
	// Begin records the attempt before its first byte is sent. After an error the attempt must not run.
	Begin(ctx context.Context, request DedupRequest) (DedupResult, error)
	// Finish records the outcome of an attempt for which Begin returned DedupNew. An outcome with RanNo releases the key.
	Finish(ctx context.Context, request DedupRequest, outcome DedupOutcome) error
}

// DedupRequest identifies one attempt of a keyed request. Fingerprint is a hash of method, path and body.
//
// Try numbers, from 0, the calls of Begin for the same attempt over different paths (the preferred writer, then the local
// one). The sender ignores responses to a lower try once it has sent a higher one, so a higher try may replace the
// running record of a lower one.
type DedupRequest struct {
	Attempt     string `json:"attempt" msgpack:"attempt"`
	Fingerprint string `json:"fingerprint" msgpack:"fingerprint"`
	Key         string `json:"key" msgpack:"key"`
	RetentionS  int64  `json:"retention_s" msgpack:"retention_s"`
	Service     string `json:"service" msgpack:"service"`
	Tenant      string `json:"tenant" msgpack:"tenant"`
	Try         int    `json:"try" msgpack:"try"`
}

// Validate implements Validator.Validate.
func (r DedupRequest) Validate() error {
	if r.Attempt == "" || r.Key == "" || r.Service == "" {
		return errors.NotValidf("attempt %q, key %q, service %q", r.Attempt, r.Key, r.Service)
	}
	if r.RetentionS < 1 {
		return errors.NotValidf("retention_s: %d", r.RetentionS)
	}
	if r.Try < 0 {
		return errors.NotValidf("try: %d", r.Try)
	}
	return nil
}

// DedupResult is the state of a record and, when it is done, its outcome.
type DedupResult struct {
	Outcome DedupOutcome `json:"outcome" msgpack:"outcome"`
	State   DedupState   `json:"state" msgpack:"state"`
}

// Validate implements Validator.Validate.
func (r DedupResult) Validate() error {
	switch r.State {
	case DedupDone, DedupMismatch, DedupNew, DedupRunning, DedupUnknown:
		return nil
	default:
		return errors.NotValidf("state: %q", r.State)
	}
}

// DedupOutcome is the recorded response to a request. Truncated means that the body was too large to record.
type DedupOutcome struct {
	Body      []byte              `json:"body" msgpack:"body"`
	Header    map[string][]string `json:"header" msgpack:"header"`
	Ran       Ran                 `json:"ran" msgpack:"ran"`
	Status    int                 `json:"status" msgpack:"status"`
	Truncated bool                `json:"truncated" msgpack:"truncated"`
}
