package ring

// Rule says what happens to a new entry when the ring is full.
type Rule int

// Overflow rules.
const (
	// RuleReject rejects the new entry.
	RuleReject Rule = iota
	// RuleDropOldest discards the oldest droppable entry; without one it rejects the new entry.
	RuleDropOldest
)
