package stand

// Behaviour defines how a target misbehaves; the zero value is a healthy target. An order is a call of the control API that sets
// the behaviour.
type Behaviour struct {
	// ColdMs is added to the service time of the first ColdRequests requests after the order, in milliseconds.
	ColdMs       int64 `json:"cold_ms"`
	ColdRequests int64 `json:"cold_requests"`
	// Drain reports the target as draining; requests that start after the order count as Evidence.AfterDrain.
	Drain bool `json:"drain"`
	// Fail responds with status 500 without any service time.
	Fail bool `json:"fail"`
	// FalseFreeSlots replaces the number of free slots in the load report.
	FalseFreeSlots *int `json:"false_free_slots,omitempty"`
	// FalseHealth replaces the state in the health report; the status is 200 for ok and 503 for any other state.
	FalseHealth string `json:"false_health"`
	// Hang accepts requests and never responds.
	Hang bool `json:"hang"`
	// Shed rejects requests with status 503 as not run.
	Shed bool `json:"shed"`
	// Silent makes the connections that are open when the order arrives unresponsive: the target's reads and
	// writes block until they are closed.
	Silent bool `json:"silent"`
	// Truncate ends responses after half of the body.
	Truncate bool `json:"truncate"`
}
