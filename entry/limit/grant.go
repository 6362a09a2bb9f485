package limit

import (
	"ebonyrouter.dev/core"
)

var _ core.Grant = (*grant)(nil)

// grant is one slot of a target.
type grant struct {
	from     core.Instant
	pool     *pool
	released bool
	target   *target
	ref      core.TargetRef
	remote   bool
	tenant   string
	until    core.Instant
}

// Release implements core.Grant.Release; an outcome without latency, failure or shedding is no evidence.
func (g *grant) Release(outcome core.Outcome) {
	g.pool.release(g, outcome)
}

// Target implements core.Grant.Target.
func (g *grant) Target() core.TargetRef {
	return g.ref
}

// ValidUntil implements core.Grant.ValidUntil. It follows the renewals of the lease, because an upload may last longer
// than one lease term.
func (g *grant) ValidUntil() core.Instant {
	return max(g.until, g.pool.config.Lease.ValidUntil(g.target.object))
}
