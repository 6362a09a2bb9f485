package audit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/audit"
)

// checkerFunc implements core.ChangeChecker.
type checkerFunc func(after int64) (changed bool, asOf int64, err error)

func (f checkerFunc) CheckChanges(_ context.Context, _ string, after int64) (changed bool, asOf int64, err error) {
	return f(after)
}

// TestAwait guards against a call that waits although its response was lost, against one that is ended although nothing was lost, and
// against checks that cost calls while all revisions are explained. The call waits for kind k after revision 10 for 8 s.
func TestAwait(t *testing.T) {
	unchanged := func(int64) (bool, int64, error) { return false, 100, nil }
	cases := map[string]struct {
		observe func(*audit.Auditor)
		check   checkerFunc
		// want is the error, by the given time.
		want     error
		by       time.Duration
		checks   int
		complete int64
		role     audit.Role
	}{
		"nothing is known":          {func(*audit.Auditor) {}, unchanged, nil, 0, 0, 10, audit.Alone},
		"an earlier revision":       {func(a *audit.Auditor) { a.Observe(0, 10, "h", nil) }, unchanged, nil, 0, 0, 10, audit.Alone},
		"revisions of another kind": {func(a *audit.Auditor) { a.Observe(0, 12, "h", []int64{11, 12}) }, unchanged, nil, 0, 0, 12, audit.Alone},
		"an unexplained revision":   {func(a *audit.Auditor) { a.Observe(0, 12, "h", []int64{12}) }, unchanged, nil, 0, 1, 100, audit.Alone},
		"explained by a later one": {func(a *audit.Auditor) {
			a.Observe(0, 12, "h", []int64{12})
			time.Sleep(500 * time.Millisecond)
			a.Observe(0, 12, "i", []int64{11})
		}, unchanged, nil, 0, 0, 12, audit.Alone},
		"a revision of an old era":   {func(a *audit.Auditor) { a.Observe(1, 5, "h", nil); a.Observe(0, 12, "h", nil) }, unchanged, nil, 0, 0, 10, audit.Alone},
		"a lost response":            {func(a *audit.Auditor) { a.Observe(0, 11, "h", nil) }, func(int64) (bool, int64, error) { return true, 11, nil }, audit.ErrResponseLost, time.Second, 1, 10, audit.Alone},
		"its kind, by another call":  {func(a *audit.Auditor) { a.Observe(0, 11, "k", []int64{11}) }, func(int64) (bool, int64, error) { return true, 11, nil }, audit.ErrResponseLost, time.Second, 1, 10, audit.Alone},
		"the history is gone":        {func(a *audit.Auditor) { a.Observe(0, 11, "h", nil) }, func(int64) (bool, int64, error) { return false, 0, core.ErrNotFound }, core.ErrNotFound, time.Second, 1, 10, audit.Alone},
		"a stale check":              {func(a *audit.Auditor) { a.Observe(0, 12, "h", nil) }, staleFor(2), audit.ErrResponseLost, 3 * time.Second, 3, 11, audit.Alone},
		"told by a relay":            {func(a *audit.Auditor) { a.Observe(0, 12, "h", nil); time.Sleep(2 * time.Second); tell(a, 8, 12) }, unchanged, nil, 0, 0, 12, audit.Member},
		"told of more than is known": {func(a *audit.Auditor) { tell(a, 8, 20); a.Observe(0, 12, "h", nil) }, unchanged, nil, 0, 0, 20, audit.Member},
		"told of later revisions":    {func(a *audit.Auditor) { a.Observe(0, 12, "h", nil); tell(a, 11, 12) }, unchanged, nil, 0, 1, 100, audit.Member},
		"not told by a relay":        {func(a *audit.Auditor) { a.Observe(0, 11, "h", nil) }, func(int64) (bool, int64, error) { return true, 11, nil }, audit.ErrResponseLost, 2500 * time.Millisecond, 1, 10, audit.Member},
		"a check that fails at once": {func(a *audit.Auditor) { a.Observe(0, 12, "h", nil) }, failing(1), audit.ErrResponseLost, 4 * time.Second, 2, 10, audit.Alone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, err := timer.NewSystem()
				assert.NilError(t, err)
				checks := 0
				a := audit.New(checkerFunc(func(after int64) (bool, int64, error) { checks++; return c.check(after) }))
				a.Observe(0, 10, "k", []int64{10})
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				defer cancel()
				go c.observe(a)
				started := time.Now()
				complete, err := a.Await(ctx, clock, audit.Call{After: 10, Kind: "k", Role: func() audit.Role { return c.role }})
				assert.ErrorIs(t, err, c.want)
				assert.Assert(t, c.want == nil || time.Since(started) <= c.by, "after %v", time.Since(started))
				assert.Assert(t, checks <= c.checks, "%d checks", checks)
				assert.Equal(t, complete, c.complete)
			})
		})
	}
}

// tell tells the auditor that another host has checked kind k.
func tell(a *audit.Auditor, after, asOf int64) {
	a.ObserveUnchanged(0, []core.UnchangedKind{{Kind: "k", After: after, AsOf: asOf}})
}

// staleFor returns a checker whose first responses show an earlier revision than the newest one, and the next the change.
func staleFor(count int) checkerFunc {
	return func(after int64) (bool, int64, error) {
		if count--; count >= 0 {
			return false, max(after, 11), nil
		}
		return true, 12, nil
	}
}

// failing returns a checker whose first calls fail, and the next shows the change.
func failing(count int) checkerFunc {
	return func(int64) (bool, int64, error) {
		if count--; count >= 0 {
			return false, 0, core.ErrUnavailable
		}
		return true, 12, nil
	}
}

// TestCheckInterval guards against calls that grow with the rate of changes that a host does not follow, and against a relay that checks too
// late for the hosts that it tells.
func TestCheckInterval(t *testing.T) {
	cases := map[string]struct {
		role audit.Role
		// min and max bound the checks in 30 s.
		min, max int
	}{
		"alone": {audit.Alone, 9, 11},
		"relay": {audit.Relay, 35, 43},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, err := timer.NewSystem()
				assert.NilError(t, err)
				var newest atomic.Int64
				checks := 0
				a := audit.New(checkerFunc(func(int64) (bool, int64, error) { checks++; return false, newest.Load(), nil }))
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				var group sync.WaitGroup
				defer group.Wait()
				group.Go(func() {
					for ctx.Err() == nil {
						a.Observe(0, newest.Add(1), "h", nil)
						time.Sleep(100 * time.Millisecond)
					}
				})
				_, err = a.Await(ctx, clock, audit.Call{After: 10, Kind: "k", Role: func() audit.Role { return c.role }})
				assert.NilError(t, err)
				assert.Assert(t, checks >= c.min && checks <= c.max, "%d checks in 30 s", checks)
				assert.Equal(t, len(a.Unchanged(0)), 1)
			})
		})
	}
}
