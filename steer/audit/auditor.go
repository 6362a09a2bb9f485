package audit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/meter"
)

// ErrResponseLost means that the store has changed in a way that a call waits for, and that the response to the call is overdue.
const ErrResponseLost = errors.ConstError("the response to a waiting call is overdue")

// failureDelay is the additional time after a failed check.
const failureDelay = 2 * time.Second

// Auditor compares what waiting calls have returned with the revisions that all responses of the store show. A revision that is not
// known to belong to an object of another kind is checked. It is safe for concurrent use.
type Auditor struct {
	checker   core.ChangeChecker
	checks    atomic.Int64
	lost      atomic.Int64
	revisions *ledger
}

// Call is a call that waits for a change of a kind of objects after a revision of an era of the store.
type Call struct {
	After int64
	Era   int64
	Kind  string
	// Role returns the role of the host; nil means Alone.
	Role func() Role
}

// role returns the role of the host.
func (c Call) role() Role {
	if c.Role == nil {
		return Alone
	}
	return c.Role()
}

// New returns an Auditor that makes its checks with the given checker.
func New(checker core.ChangeChecker) *Auditor {
	return &Auditor{checker: checker, revisions: newLedger()}
}

// Observe records that a response of an era has shown the store at revision asOf, and objects of a kind with the given revisions.
func (a *Auditor) Observe(era, asOf int64, kind string, revisions []int64) {
	a.revisions.add(era, asOf, kind, revisions)
}

// ObserveUnchanged records what another host has checked in an era.
func (a *Auditor) ObserveUnchanged(era int64, checked []core.UnchangedKind) {
	for _, c := range checked {
		a.revisions.addUnchanged(era, c)
	}
}

// Unchanged returns what checks have shown of each kind in an era.
func (a *Auditor) Unchanged(era int64) []core.UnchangedKind { return a.revisions.allUnchanged(era) }

// Await returns ErrResponseLost if a change is known for which the call should have returned, or the error of a check that shows that
// the call must not be repeated from its revision. It returns nil when ctx, which must end with the call, is done. No object of the kind
// has changed after the revision of the call up to complete.
func (a *Auditor) Await(ctx context.Context, timer core.Timer, call Call) (complete int64, err error) {
	complete = call.After
	var checked core.Instant
	for {
		newest, unchanged, changed := a.revisions.after(call.Era, complete, call.Kind)
		if complete = unchanged; complete >= newest {
			select {
			case <-ctx.Done():
				return complete, nil
			case <-changed:
				continue
			}
		}
		if !pause(ctx, timer, call.role().delay(timer.Now().Sub(checked))) {
			return complete, nil
		}
		// The responses that arrived meanwhile may explain the revisions that were known then, or a part of them.
		if _, complete, _ = a.revisions.after(call.Era, complete, call.Kind); complete >= newest {
			continue
		}
		asOf, err := a.check(ctx, call.Kind, complete)
		switch {
		case err == nil:
			if complete = max(complete, asOf); complete >= newest {
				checked = timer.Now()
			}
			a.revisions.addUnchanged(call.Era, core.UnchangedKind{Kind: call.Kind, After: call.After, AsOf: complete})
		case !errors.Is(err, core.ErrUnavailable):
			return complete, err
		case !pause(ctx, timer, failureDelay):
			return complete, nil
		}
	}
}

// check returns the revision up to which no object of a kind has changed after complete, or ErrResponseLost if one has.
func (a *Auditor) check(ctx context.Context, kind string, complete int64) (int64, error) {
	a.checks.Add(1)
	changed, asOf, err := a.checker.CheckChanges(ctx, kind, complete)
	if err == nil && changed {
		a.lost.Add(1)
		return complete, ErrResponseLost
	}
	return asOf, err
}

// pause waits and reports whether ctx is not done.
func pause(ctx context.Context, timer core.Timer, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-timer.After(d):
		return true
	}
}

// Export adds the metrics of the auditor.
func (a *Auditor) Export(m *meter.Meter) {
	m.Gauge("ebony_store_checks_total", func() float64 { return float64(a.checks.Load()) })
	m.Gauge("ebony_store_responses_lost_total", func() float64 { return float64(a.lost.Load()) })
}
