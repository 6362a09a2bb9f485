package store

// Faults are the failures that a Memory simulates.
type Faults struct {
	// LostResponses is the number of following writes that take effect but whose response is lost; -1 means all.
	LostResponses int `json:"lost_answers"`
	// Outage rejects every call before it is processed and ends waiting watches.
	Outage bool `json:"outage"`
	// SlowMs is the delay in milliseconds before each call is processed.
	SlowMs int64 `json:"slow_ms"`
}
