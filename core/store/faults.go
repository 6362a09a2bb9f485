package store

// Faults are the failures that a Memory shows until they are switched off.
type Faults struct {
	// LostAnswers is the number of next writes that take effect but whose answer is lost; -1 means all.
	LostAnswers int `json:"lost_answers"`
	// Outage refuses every call before it is processed and ends waiting watches.
	Outage bool `json:"outage"`
	// SlowMs delays the processing of every call, in milliseconds.
	SlowMs int64 `json:"slow_ms"`
}
