package stand

// Evidence holds what one target has recorded since its start or last reset. HighConcurrent and HighConnections are the
// highest numbers seen; OverSlots counts the requests that started while all slots were in use.
type Evidence struct {
	Address         string `json:"address"`
	AfterDrain      int64  `json:"after_drain"`
	Cancelled       int64  `json:"cancelled"`
	ConnectionLimit int    `json:"connection_limit"`
	Connections     int    `json:"connections"`
	DeadlinePassed  int64  `json:"deadline_passed"`
	HighConcurrent  int    `json:"high_concurrent"`
	HighConnections int    `json:"high_connections"`
	InUse           int    `json:"in_use"`
	OverSlots       int64  `json:"over_slots"`
	// ReachedUs holds at index n the time from the last order or reset until n+1 requests first ran at once, in microseconds.
	ReachedUs []int64 `json:"reached_us"`
	Requests  int64   `json:"requests"`
	// Runs counts the POST and PATCH requests that started, by their Idempotency-Key or, without one, their HeaderRunID.
	Runs  map[string]int64 `json:"runs,omitempty"`
	Shed  int64            `json:"shed"`
	Slots int              `json:"slots"`
}
