package core

// Policy is one level of the settings tree; a nil field inherits the value of the level above.
type Policy struct {
	DeadlineMs             *int64 `json:"deadline_ms,omitempty" msgpack:"deadline_ms"`
	DrainGraceMs           *int64 `json:"drain_grace_ms,omitempty" msgpack:"drain_grace_ms"`
	EjectFailures          *int64 `json:"eject_failures,omitempty" msgpack:"eject_failures"`
	EjectMaxPercent        *int64 `json:"eject_max_percent,omitempty" msgpack:"eject_max_percent"`
	EjectMs                *int64 `json:"eject_ms,omitempty" msgpack:"eject_ms"`
	HedgeAfterMs           *int64 `json:"hedge_after_ms,omitempty" msgpack:"hedge_after_ms"`
	HedgePercent           *int64 `json:"hedge_percent,omitempty" msgpack:"hedge_percent"`
	IdempotencyAnswerBytes *int64 `json:"idempotency_answer_bytes,omitempty" msgpack:"idempotency_answer_bytes"`
	IdempotencyRetentionS  *int64 `json:"idempotency_retention_s,omitempty" msgpack:"idempotency_retention_s"`
	IdleSuspectMs          *int64 `json:"idle_suspect_ms,omitempty" msgpack:"idle_suspect_ms"`
	LookupHosts            *int64 `json:"lookup_hosts,omitempty" msgpack:"lookup_hosts"`
	LookupValidMs          *int64 `json:"lookup_valid_ms,omitempty" msgpack:"lookup_valid_ms"`
	QueueMax               *int64 `json:"queue_max,omitempty" msgpack:"queue_max"`
	RampIntervalMs         *int64 `json:"ramp_interval_ms,omitempty" msgpack:"ramp_interval_ms"`
	RampStartPercent       *int64 `json:"ramp_start_percent,omitempty" msgpack:"ramp_start_percent"`
	RampStepPercent        *int64 `json:"ramp_step_percent,omitempty" msgpack:"ramp_step_percent"`
	RequestBodyBytes       *int64 `json:"request_body_bytes,omitempty" msgpack:"request_body_bytes"`
	RetryPercent           *int64 `json:"retry_percent,omitempty" msgpack:"retry_percent"`
	ShiftReservePercent    *int64 `json:"shift_reserve_percent,omitempty" msgpack:"shift_reserve_percent"`
	TryTimeoutMs           *int64 `json:"try_timeout_ms,omitempty" msgpack:"try_timeout_ms"`
}

// EffectivePolicy is the policy of one service in one availability zone with all inherited values resolved.
type EffectivePolicy struct {
	DeadlineMs             int64 `json:"deadline_ms" msgpack:"deadline_ms"`
	DrainGraceMs           int64 `json:"drain_grace_ms" msgpack:"drain_grace_ms"`
	EjectFailures          int64 `json:"eject_failures" msgpack:"eject_failures"`
	EjectMaxPercent        int64 `json:"eject_max_percent" msgpack:"eject_max_percent"`
	EjectMs                int64 `json:"eject_ms" msgpack:"eject_ms"`
	HedgeAfterMs           int64 `json:"hedge_after_ms" msgpack:"hedge_after_ms"`
	HedgePercent           int64 `json:"hedge_percent" msgpack:"hedge_percent"`
	IdempotencyAnswerBytes int64 `json:"idempotency_answer_bytes" msgpack:"idempotency_answer_bytes"`
	IdempotencyRetentionS  int64 `json:"idempotency_retention_s" msgpack:"idempotency_retention_s"`
	IdleSuspectMs          int64 `json:"idle_suspect_ms" msgpack:"idle_suspect_ms"`
	LookupHosts            int64 `json:"lookup_hosts" msgpack:"lookup_hosts"`
	LookupValidMs          int64 `json:"lookup_valid_ms" msgpack:"lookup_valid_ms"`
	QueueMax               int64 `json:"queue_max" msgpack:"queue_max"`
	RampIntervalMs         int64 `json:"ramp_interval_ms" msgpack:"ramp_interval_ms"`
	RampStartPercent       int64 `json:"ramp_start_percent" msgpack:"ramp_start_percent"`
	RampStepPercent        int64 `json:"ramp_step_percent" msgpack:"ramp_step_percent"`
	RequestBodyBytes       int64 `json:"request_body_bytes" msgpack:"request_body_bytes"`
	RetryPercent           int64 `json:"retry_percent" msgpack:"retry_percent"`
	ShiftReservePercent    int64 `json:"shift_reserve_percent" msgpack:"shift_reserve_percent"`
	TryTimeoutMs           int64 `json:"try_timeout_ms" msgpack:"try_timeout_ms"`
}
