package stand

// Behaviour says how a target misbehaves; the zero value is a healthy target.
type Behaviour struct {
	// ColdMs is added to the service time of the first ColdRequests requests after the order.
	ColdMs       int64 `json:"cold_ms"`
	ColdRequests int64 `json:"cold_requests"`
	// Drain announces that the target is leaving; requests that start after it are counted.
	Drain bool `json:"drain"`
	// Fail answers 500 at once.
	Fail bool `json:"fail"`
	// FalseFreeSlots replaces the free slots of the load report.
	FalseFreeSlots *int `json:"false_free_slots,omitempty"`
	// FalseHealth replaces the state of the health report; ok is answered with 200, anything else with 503.
	FalseHealth string `json:"false_health"`
	// Hang accepts requests and never answers.
	Hang bool `json:"hang"`
	// Shed rejects requests as not run.
	Shed bool `json:"shed"`
	// Silent stops reading and writing on the connections that are open when the order arrives.
	Silent bool `json:"silent"`
	// Truncate ends responses after half of the body.
	Truncate bool `json:"truncate"`
}
