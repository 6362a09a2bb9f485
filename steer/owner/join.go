package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

// removeOlderIncarnation removes the older incarnation of the local host if enough of its grantors have withdrawn or
// were replaced or, if it has no grantors, after it has blocked the join for replacedGrantorWait.
func (d *Documents) removeOlderIncarnation(ctx context.Context, incarnation string) error {
	document, _, err := d.read(ctx, d.region)
	if err != nil {
		return err
	}
	m, ok := document.Members[d.host]
	if !ok || m.Incarnation == incarnation {
		return nil
	}
	if len(m.Grantors) == 0 {
		if d.blockedFor(grantorSet{fromEpoch: m.GrantorsFrom, incarnation: m.Incarnation}) < replacedGrantorWait {
			return ErrOlderIncarnation
		}
	} else {
		replaced, err := d.replacedGrantors(ctx, m.Grantors)
		if err != nil {
			return err
		}
		if !hasRevokeQuorum(m, append(replaced, d.withdrawals(m)...)) {
			return ErrOlderIncarnation
		}
	}
	reply := d.update(ctx, d.region, "replace", d.host, func(next *core.Ownership) mutationResult {
		if n, ok := next.Members[d.host]; !ok || n.Incarnation != m.Incarnation || n.GrantorsFrom != m.GrantorsFrom {
			return mutationResult{}
		}
		removeMember(next, d.host)
		return mutationResult{changed: true}
	})
	if reply.Outcome != core.LeaseApplied {
		return fmt.Errorf("replace incarnation %q: %s", m.Incarnation, reply.Reason)
	}
	event.LeaseEvicted.Write(d.log, zap.Strings("hosts", []string{d.host}), zap.Int64("epoch", reply.Epoch))
	return nil
}

// isolated reports whether this host was removed recently and sees no other live member. The members do not receive its
// reports either and would remove it again.
func (d *Documents) isolated(document core.Ownership) bool {
	d.mu.Lock()
	recentlyRemoved := len(d.removed) > 0 && d.timer.Now().Sub(d.removedAt) < isolatedRejoinWait
	d.mu.Unlock()
	if !recentlyRemoved || len(document.Members) == 0 {
		return false
	}
	return !slices.ContainsFunc(d.liveHosts.Hosts(), func(h core.Host) bool {
		_, ok := document.Members[h.Host]
		return ok && h.Host != d.host
	})
}

// blockedFor returns for how long the same older incarnation has blocked the join.
func (d *Documents) blockedFor(by grantorSet) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	if d.blockedBy != by {
		d.blockedBy = by
		d.blockedSince = now
	}
	return now.Sub(d.blockedSince)
}

// replacedGrantors returns the grantors whose hosts have had another incarnation registered for replacedGrantorWait. The
// store is read after the document: the set was chosen from stored registrations, so the registrations read now are
// never older.
func (d *Documents) replacedGrantors(ctx context.Context, grantors []core.GrantorRef) ([]core.GrantorRef, error) {
	objects, err := d.store.List(ctx, core.KeyHostsPrefix)
	d.recordStoreResult(err)
	if err != nil {
		return nil, err
	}
	current := map[string]registration{}
	now := d.timer.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range objects {
		var h core.Host
		if err := json.Unmarshal(o.Value, &h); err != nil {
			return nil, fmt.Errorf("registration %q: %w", o.Key, err)
		}
		r := d.registrations[h.Host]
		if r.incarnation != h.Incarnation {
			r = registration{incarnation: h.Incarnation, since: now}
		}
		current[h.Host] = r
	}
	d.registrations = current
	return slices.DeleteFunc(slices.Clone(grantors), func(g core.GrantorRef) bool {
		r, ok := current[g.Host]
		return !ok || r.incarnation == g.Incarnation || now.Sub(r.since) < replacedGrantorWait
	}), nil
}

// joinIfNeeded adds the local incarnation to the document if it should be a member, is not listed and was not removed.
// An isolated host does not join.
func (d *Documents) joinIfNeeded(ctx context.Context) {
	incarnation := d.loadLocalIncarnation()
	document, _ := d.Current()
	if incarnation == "" || document.Members[d.host].Incarnation == incarnation || d.wasRemoved(incarnation) ||
		d.isolated(document) {
		return
	}
	if err := d.Join(ctx, incarnation); err != nil && !errors.Is(err, ErrOlderIncarnation) {
		event.LeaseWriteFailed.Write(d.log, zap.String("reason", "join"), zap.Error(err))
	}
}
