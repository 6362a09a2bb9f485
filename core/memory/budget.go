package memory

import (
	"sync/atomic"

	"ebonyrouter.dev/core"
)

// Budget counts the bytes that a process holds for callers and targets. It is safe for concurrent use.
type Budget struct {
	held    atomic.Int64
	refused atomic.Int64
	total   int64
}

var _ core.MemoryBudget = (*Budget)(nil)

// NewBudget returns a budget of total bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total}
}

// Held returns the reserved bytes.
func (b *Budget) Held() int64 { return b.held.Load() }

// Refused returns the number of reservations that were refused.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Total returns the size of the budget in bytes.
func (b *Budget) Total() int64 { return b.total }

// Release implements core.MemoryBudget.
func (b *Budget) Release(bytes int64) {
	b.held.Add(-bytes)
}

// Reserve implements core.MemoryBudget.
func (b *Budget) Reserve(bytes int64) bool {
	return b.reserveUpTo(bytes, b.total)
}

// reserveUpTo reserves bytes unless more than limit bytes would be held.
func (b *Budget) reserveUpTo(bytes, limit int64) bool {
	if b.held.Add(bytes) <= limit {
		return true
	}
	b.held.Add(-bytes)
	b.refused.Add(1)
	return false
}
