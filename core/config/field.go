package config

import "ebonyrouter.dev/core"

// field describes one policy field: its name, range and built-in default, and its accessors in both policy types.
type field struct {
	builtIn int64
	from    func(*core.Policy) *int64
	into    func(*core.EffectivePolicy) *int64
	max     int64
	min     int64
	name    string
}

// Bounds that several fields share.
const (
	maxMs      = 600_000
	maxPercent = 100
)

// fields lists all policy fields by name.
var fields = []field{
	{2000, func(p *core.Policy) *int64 { return p.DeadlineMs }, func(e *core.EffectivePolicy) *int64 { return &e.DeadlineMs }, maxMs, 1, "deadline_ms"},
	{10_000, func(p *core.Policy) *int64 { return p.DrainGraceMs }, func(e *core.EffectivePolicy) *int64 { return &e.DrainGraceMs }, maxMs, 0, "drain_grace_ms"},
	{5, func(p *core.Policy) *int64 { return p.EjectFailures }, func(e *core.EffectivePolicy) *int64 { return &e.EjectFailures }, 1000, 1, "eject_failures"},
	{50, func(p *core.Policy) *int64 { return p.EjectMaxPercent }, func(e *core.EffectivePolicy) *int64 { return &e.EjectMaxPercent }, maxPercent, 0, "eject_max_percent"},
	{5000, func(p *core.Policy) *int64 { return p.EjectMs }, func(e *core.EffectivePolicy) *int64 { return &e.EjectMs }, maxMs, 1, "eject_ms"},
	{0, func(p *core.Policy) *int64 { return p.HedgeAfterMs }, func(e *core.EffectivePolicy) *int64 { return &e.HedgeAfterMs }, maxMs, 0, "hedge_after_ms"},
	{0, func(p *core.Policy) *int64 { return p.HedgePercent }, func(e *core.EffectivePolicy) *int64 { return &e.HedgePercent }, maxPercent, 0, "hedge_percent"},
	// The maximum of 262144 bytes lets several recorded responses fit into one store object.
	{16_384, func(p *core.Policy) *int64 { return p.IdempotencyAnswerBytes }, func(e *core.EffectivePolicy) *int64 { return &e.IdempotencyAnswerBytes }, 262_144, 0, "idempotency_answer_bytes"},
	{86_400, func(p *core.Policy) *int64 { return p.IdempotencyRetentionS }, func(e *core.EffectivePolicy) *int64 { return &e.IdempotencyRetentionS }, 2_592_000, 1, "idempotency_retention_s"},
	{2000, func(p *core.Policy) *int64 { return p.IdleSuspectMs }, func(e *core.EffectivePolicy) *int64 { return &e.IdleSuspectMs }, maxMs, 1, "idle_suspect_ms"},
	{3, func(p *core.Policy) *int64 { return p.LookupHosts }, func(e *core.EffectivePolicy) *int64 { return &e.LookupHosts }, 16, 1, "lookup_hosts"},
	{5000, func(p *core.Policy) *int64 { return p.LookupValidMs }, func(e *core.EffectivePolicy) *int64 { return &e.LookupValidMs }, maxMs, 100, "lookup_valid_ms"},
	{64, func(p *core.Policy) *int64 { return p.QueueMax }, func(e *core.EffectivePolicy) *int64 { return &e.QueueMax }, 100_000, 0, "queue_max"},
	{2000, func(p *core.Policy) *int64 { return p.RampIntervalMs }, func(e *core.EffectivePolicy) *int64 { return &e.RampIntervalMs }, maxMs, 100, "ramp_interval_ms"},
	{20, func(p *core.Policy) *int64 { return p.RampStartPercent }, func(e *core.EffectivePolicy) *int64 { return &e.RampStartPercent }, maxPercent, 1, "ramp_start_percent"},
	{20, func(p *core.Policy) *int64 { return p.RampStepPercent }, func(e *core.EffectivePolicy) *int64 { return &e.RampStepPercent }, maxPercent, 1, "ramp_step_percent"},
	{8 << 20, func(p *core.Policy) *int64 { return p.RequestBodyBytes }, func(e *core.EffectivePolicy) *int64 { return &e.RequestBodyBytes }, 1 << 30, 0, "request_body_bytes"},
	{10, func(p *core.Policy) *int64 { return p.RetryPercent }, func(e *core.EffectivePolicy) *int64 { return &e.RetryPercent }, maxPercent, 0, "retry_percent"},
	{25, func(p *core.Policy) *int64 { return p.ShiftReservePercent }, func(e *core.EffectivePolicy) *int64 { return &e.ShiftReservePercent }, maxPercent, 0, "shift_reserve_percent"},
	{1000, func(p *core.Policy) *int64 { return p.TryTimeoutMs }, func(e *core.EffectivePolicy) *int64 { return &e.TryTimeoutMs }, maxMs, 1, "try_timeout_ms"},
}
