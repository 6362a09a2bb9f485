package drive

// TargetEvidence is the part of a target's evidence that shows whether the target's limits were respected.
type TargetEvidence struct {
	Address         string           `json:"address"`
	AfterDrain      int64            `json:"after_drain"`
	ConnectionLimit int              `json:"connection_limit"`
	HighConcurrent  int              `json:"high_concurrent"`
	HighConnections int              `json:"high_connections"`
	OverSlots       int64            `json:"over_slots"`
	Requests        int64            `json:"requests"`
	Runs            map[string]int64 `json:"runs,omitempty"`
	Slots           int              `json:"slots"`
}
