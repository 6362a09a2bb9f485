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

// clearOlder removes the older incarnation of the own host if its grantors have withdrawn or were replaced, or if it
// has none.
func (d *Documents) clearOlder(ctx context.Context, incarnation string) error {
	document, _, err := d.read(ctx, d.region)
	if err != nil {
		return err
	}
	m, ok := document.Members[d.host]
	if !ok || m.Incarnation == incarnation {
		return nil
	}
	if len(m.Grantors) == 0 {
		if d.blockedFor(grantorSet{from: m.GrantorsFrom, incarnation: m.Incarnation}) < grantorWait {
			return ErrOlderIncarnation
		}
	} else {
		replaced, err := d.replaced(ctx, m.Grantors)
		if err != nil {
			return err
		}
		if !mayRemove(m, append(replaced, d.withdrawals(m)...)) {
			return ErrOlderIncarnation
		}
	}
	reply := d.update(ctx, d.region, "replace", d.host, func(next *core.Ownership) verdict {
		if n, ok := next.Members[d.host]; !ok || n.Incarnation != m.Incarnation || n.GrantorsFrom != m.GrantorsFrom {
			return verdict{}
		}
		removeMember(next, d.host)
		return verdict{write: true}
	})
	if reply.Outcome != core.LeaseApplied {
		return fmt.Errorf("replace incarnation %q: %s", m.Incarnation, reply.Reason)
	}
	event.LeaseEvicted.Write(d.log, zap.Strings("hosts", []string{d.host}), zap.Int64("epoch", reply.Epoch))
	return nil
}

// cutOff reports whether this host was removed lately and hears none of the members: they cannot hear it either and
// would remove it again.
func (d *Documents) cutOff(document core.Ownership) bool {
	d.mu.Lock()
	lately := len(d.removed) > 0 && d.timer.Now().Sub(d.removedAt) < cutOffWait
	d.mu.Unlock()
	if !lately || len(document.Members) == 0 {
		return false
	}
	return !slices.ContainsFunc(d.heard.Hosts(), func(h core.Host) bool {
		_, ok := document.Members[h.Host]
		return ok && h.Host != d.host
	})
}

// blockedFor returns for how long the same older incarnation has been in the way.
func (d *Documents) blockedFor(by grantorSet) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	if d.blockedBy != by {
		d.blockedBy = by
		d.blockedAt = now
	}
	return now.Sub(d.blockedAt)
}

// replaced returns the grantors whose hosts have had another incarnation registered for the lease term. The store is
// read after the document: the set was chosen from registrations of the store, so what it holds now is never older.
func (d *Documents) replaced(ctx context.Context, grantors []core.GrantorRef) ([]core.GrantorRef, error) {
	objects, err := d.store.List(ctx, core.KeyHostsPrefix)
	d.noteStore(err)
	if err != nil {
		return nil, err
	}
	seen := map[string]registration{}
	now := d.timer.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range objects {
		var h core.Host
		if err := json.Unmarshal(o.Value, &h); err != nil {
			return nil, fmt.Errorf("registration %q: %w", o.Key, err)
		}
		r := d.registered[h.Host]
		if r.incarnation != h.Incarnation {
			r = registration{incarnation: h.Incarnation, since: now}
		}
		seen[h.Host] = r
	}
	d.registered = seen
	return slices.DeleteFunc(slices.Clone(grantors), func(g core.GrantorRef) bool {
		r, ok := seen[g.Host]
		return !ok || r.incarnation == g.Incarnation || now.Sub(r.since) < grantorWait
	}), nil
}

// join adds the local incarnation, if one is set and not listed.
func (d *Documents) join(ctx context.Context) {
	incarnation := d.local()
	document, _ := d.Current()
	if incarnation == "" || document.Members[d.host].Incarnation == incarnation || d.wasRemoved(incarnation) || d.cutOff(document) {
		return
	}
	if err := d.Join(ctx, incarnation); err != nil && !errors.Is(err, ErrOlderIncarnation) {
		event.LeaseWriteFailed.Write(d.log, zap.String("reason", "join"), zap.Error(err))
	}
}
