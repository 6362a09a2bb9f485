package limit

import (
	"context"
	"sync/atomic"

	"ebonyrouter.dev/core"
)

var _ core.ShiftGrant = (*shiftGrant)(nil)

// shiftGrant is the permission to send one request to another region.
type shiftGrant struct {
	lease    core.Lease
	released atomic.Bool
	shift    *shift
}

// Admit implements core.ShiftGrant.Admit.
func (g *shiftGrant) Admit() error {
	return g.shift.admit(g.shift.timer.Now(), g.lease, g.ValidUntil())
}

// PaceRequest implements core.ShiftGrant.PaceRequest.
func (g *shiftGrant) PaceRequest(ctx context.Context, n int) error {
	return g.shift.requestPacer.wait(ctx, n)
}

// PaceResponse implements core.ShiftGrant.PaceResponse.
func (g *shiftGrant) PaceResponse(ctx context.Context, n int) error {
	return g.shift.responsePacer.wait(ctx, n)
}

// Release implements core.ShiftGrant.Release; only the first call has an effect.
func (g *shiftGrant) Release(outcome core.Outcome) {
	if g.released.CompareAndSwap(false, true) {
		g.shift.release(outcome)
	}
}

// ValidUntil implements core.ShiftGrant.ValidUntil.
func (g *shiftGrant) ValidUntil() core.Instant {
	return g.lease.ValidUntil(g.shift.object)
}
