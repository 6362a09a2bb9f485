package codes

// Results of requests rejected before any upstream received them (3000 to 3999); none of these requests was run.
const (
	NoPermittedTarget Code = 3001
	QueueFull         Code = 3002
	DeadlineTooShort  Code = 3003
	LeaseExpired      Code = 3004
	NotReady          Code = 3005
	ShiftCapReached   Code = 3006
	Draining          Code = 3007
	ReserveKept       Code = 3010
	QueueAbandoned    Code = 3011
	QuotaExceeded     Code = 3012
	SettingsUnproven  Code = 3013
)

var rejectTable = []Info{
	{NoPermittedTarget, "no_permitted_target", "No healthy target with an owner is known for the service.", "Retry after a second."},
	{QueueFull, "queue_full", "The queue of the service is full.", "Retry later."},
	{DeadlineTooShort, "deadline_too_short", "The expected wait exceeds the request's deadline.", "Retry later or set a longer deadline."},
	{LeaseExpired, "lease_expired", "The owner's lease expired before the request was sent.", "Retry."},
	{NotReady, "not_ready", "The process has no settings in force yet.", "Use another entry host."},
	{ShiftCapReached, "shift_cap_reached", "The cap of the shift to the other region is reached.", "Retry later."},
	{Draining, "draining", "The entry host is stopping.", "Use another entry host."},
	{ReserveKept, "reserve_kept", "The free slots of the other region are reserved for its own requests.", "Retry later."},
	{QueueAbandoned, "queue_abandoned", "The caller disconnected while its request was queued.", "None."},
	{QuotaExceeded, "quota_exceeded", "The customer has used up its quota.", "Retry after the stated time, or ask for a larger quota."},
	{SettingsUnproven, "settings_unproven", "This host cannot prove that its API keys are up to date.", "Use another entry host; check its connection to the store."},
}
