package core

// RefusalReason is why a request was refused before any target, as a label of metrics.
type RefusalReason string

// The reasons.
const (
	// RefusedCustomer means that the customer exceeds its fair share while the service has too little room.
	RefusedCustomer RefusalReason = "customer"
	// RefusedLate means that the response was expected too late.
	RefusedLate RefusalReason = "late"
	// RefusedNoTarget means that no usable target is known.
	RefusedNoTarget RefusalReason = "no_target"
	// RefusedRank means that more urgent requests come first.
	RefusedRank RefusalReason = "rank"
)

// RefusalObserver counts requests that were refused before any target; it must not block.
type RefusalObserver interface {
	// ObserveRefusal counts a request of a priority, of which 0 is the highest.
	ObserveRefusal(priority int64, reason RefusalReason)
}
