package limit

import (
	"ebonyrouter.dev/core"
)

var _ core.Grant = (*grant)(nil)

// grant is the use of one slot of a target by one request.
type grant struct {
	grantedAt core.Instant
	pool      *pool
	released  bool
	target    *target
	ref       core.TargetRef
	// remote means that the request came from another region.
	remote     bool
	tenant     string
	validUntil core.Instant
}

// Release implements core.Grant.Release. An outcome without latency, failure or shedding does not change the health of
// the target.
func (g *grant) Release(outcome core.Outcome) {
	g.pool.release(g, outcome)
}

// Target implements core.Grant.Target.
func (g *grant) Target() core.TargetRef {
	return g.ref
}

// ValidUntil implements core.Grant.ValidUntil. Each renewal of the lease extends the result, because an upload may
// take longer than one lease term.
func (g *grant) ValidUntil() core.Instant {
	return max(g.validUntil, g.pool.config.Lease.ValidUntil(g.target.object))
}
