package memory

import (
	"sync/atomic"

	"ebonyrouter.dev/core"
)

// Parts of a budget that one connection may use up, by how much the connection holds itself. What large requests leave free is for the
// ordinary ones, so that a few clients cannot use up the memory of all.
const (
	// ordinaryBytes is what a connection with an ordinary request holds at most: one with a head of 4 KiB with 32 lines, as Head counts it.
	ordinaryBytes = 48 << 10
	// moderateBytes covers heads of 16 KiB, the largest that controlled callers send.
	moderateBytes   = 128 << 10
	moderatePercent = 75
	largePercent    = 50
	wholePercent    = 100
)

// Account counts what one connection holds of a budget. It is safe for concurrent use until Close.
type Account struct {
	budget *Budget
	held   atomic.Int64
}

var _ core.MemoryBudget = (*Account)(nil)

// NewAccount returns an account that holds nothing. A nil budget permits everything.
func NewAccount(budget *Budget) *Account {
	return &Account{budget: budget}
}

// Close releases everything that the account still holds.
func (a *Account) Close() {
	if a.budget != nil {
		a.budget.Release(a.held.Swap(0))
	}
}

// Release implements core.MemoryBudget.
func (a *Account) Release(bytes int64) {
	if a.budget == nil {
		return
	}
	a.held.Add(-bytes)
	a.budget.Release(bytes)
}

// Reserve implements core.MemoryBudget. The more the connection holds, the smaller is the part of the budget that it may use.
func (a *Account) Reserve(bytes int64) bool {
	if a.budget == nil {
		return true
	}
	percent := int64(wholePercent)
	switch held := a.held.Load() + bytes; {
	case held > moderateBytes:
		percent = largePercent
	case held > ordinaryBytes:
		percent = moderatePercent
	}
	if !a.budget.reserveUpTo(bytes, a.budget.total/wholePercent*percent) {
		return false
	}
	a.held.Add(bytes)
	return true
}
