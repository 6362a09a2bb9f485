package ring

// Rule is the overflow rule, which determines what Put does when the ring is full.
type Rule int

// Overflow rules.
const (
	// RuleReject rejects the new entry.
	RuleReject Rule = iota
	// RuleDropOldest drops the oldest droppable entry, or rejects the new entry if there is none.
	RuleDropOldest
)
