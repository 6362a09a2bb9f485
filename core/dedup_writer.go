package core

import "github.com/juju/errors"

// Topics of requests to the preferred writer of a shard of idempotency records.
const (
	// TopicDedupBegin carries DedupBegin; the reply is a DedupResult.
	TopicDedupBegin = "dedup_begin"
	// TopicDedupFinish carries DedupFinish; the reply is empty.
	TopicDedupFinish = "dedup_finish"
)

// maxDedupTimeoutMs bounds the time that a writer spends on a request from another process.
const maxDedupTimeoutMs = 60_000

// DedupBegin asks the preferred writer to begin an attempt. The sender ignores replies that arrive after TimeoutMs.
type DedupBegin struct {
	Request   DedupRequest `json:"request" msgpack:"request"`
	TimeoutMs int64        `json:"timeout_ms" msgpack:"timeout_ms"`
}

// Validate implements Validator.Validate.
func (b DedupBegin) Validate() error {
	if err := checkDedupTimeout(b.TimeoutMs); err != nil {
		return err
	}
	return errors.Annotate(b.Request.Validate(), "request")
}

// DedupFinish asks the preferred writer to record an outcome. The sender ignores replies that arrive after TimeoutMs.
type DedupFinish struct {
	Outcome   DedupOutcome `json:"outcome" msgpack:"outcome"`
	Request   DedupRequest `json:"request" msgpack:"request"`
	TimeoutMs int64        `json:"timeout_ms" msgpack:"timeout_ms"`
}

// Validate implements Validator.Validate.
func (f DedupFinish) Validate() error {
	if err := checkDedupTimeout(f.TimeoutMs); err != nil {
		return err
	}
	switch f.Outcome.Ran {
	case RanNo, RanUnknown, RanYes:
	default:
		return errors.NotValidf("outcome: ran: %q", f.Outcome.Ran)
	}
	return errors.Annotate(f.Request.Validate(), "request")
}

func checkDedupTimeout(timeoutMs int64) error {
	if timeoutMs < 1 || timeoutMs > maxDedupTimeoutMs {
		return errors.NotValidf("timeout_ms: %d", timeoutMs)
	}
	return nil
}
