package core

// MemoryBudget bounds the memory that a process holds for callers and targets.
type MemoryBudget interface {
	// Release returns bytes that were reserved.
	Release(bytes int64)
	// Reserve counts bytes that are about to be held, or returns false if they would exceed the budget.
	Reserve(bytes int64) bool
}
