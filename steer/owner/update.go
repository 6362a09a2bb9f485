package owner

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	mathrand "math/rand/v2"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/store"
)

const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// attempt is the state of one change while its writes are repeated.
type attempt struct {
	id     string
	region string
	// uncertain is the version on which a write with an unknown outcome was based, if pending.
	pending   bool
	uncertain int64
}

// update computes and writes a change until its outcome is known.
func (d *Documents) update(ctx context.Context, region, reason, subject string, mutate mutation) core.LeaseChangeReply {
	a := &attempt{id: d.newID(), region: region}
	var last error
	for n := range maxAttempts {
		if n > 0 {
			d.pause(ctx, d.backoff(n))
		}
		if ctx.Err() != nil {
			last = ctx.Err()
			break
		}
		reply, done, err := d.try(ctx, a, mutate)
		if done {
			return reply
		}
		last = err
		event.LeaseWriteFailed.Write(d.log, zap.String("reason", reason), zap.String("subject", subject), zap.Error(err))
		if errors.Is(err, core.ErrUnavailable) && !a.pending {
			break
		}
	}
	reply := core.LeaseChangeReply{Outcome: core.LeaseRefused, Reason: last.Error(), StoreDown: d.StoreDown()}
	if a.pending {
		reply.Outcome = core.LeaseUnknown
	}
	return reply
}

// try reads the newest document and writes the change to it; done means that the outcome is known.
func (d *Documents) try(ctx context.Context, a *attempt, mutate mutation) (core.LeaseChangeReply, bool, error) {
	old, version, err := d.read(ctx, a.region)
	if err != nil {
		return core.LeaseChangeReply{}, false, err
	}
	if a.pending && version != a.uncertain {
		// Another version exists, so a write based on the old one has taken effect or never will.
		a.pending = false
		if old.ChangeID == a.id {
			return core.LeaseChangeReply{Epoch: old.Epoch, Outcome: core.LeaseApplied}, true, nil
		}
	}
	next := clone(old)
	next.Epoch++
	v := mutate(&next)
	if v.refusal != "" {
		reply := core.LeaseChangeReply{Epoch: old.Epoch, Outcome: core.LeaseRefused, Reason: v.refusal}
		if a.pending {
			reply.Outcome = core.LeaseUnknown
		}
		return reply, true, nil
	}
	if filled := Assign(&next, Objects(d.settings.Current(), a.region), d.zones()); !v.write && !filled {
		return core.LeaseChangeReply{Epoch: old.Epoch, Outcome: core.LeaseApplied}, true, nil
	}
	next.ChangeID = a.id
	if err := d.write(ctx, next, version); err != nil {
		if !isDefinite(err) {
			a.pending = true
			a.uncertain = version
		}
		return core.LeaseChangeReply{}, false, err
	}
	d.tell(next)
	return core.LeaseChangeReply{Epoch: next.Epoch, Outcome: core.LeaseApplied}, true, nil
}

// pause waits between two attempts.
func (d *Documents) pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-d.timer.After(wait):
	}
}

// read returns the newest document of region and its version; a document that does not exist yet has version 0.
func (d *Documents) read(ctx context.Context, region string) (core.Ownership, int64, error) {
	held := d.stored(region)
	object, err := store.GetChanged(ctx, d.store, core.KeyOwnershipPrefix+region, held.version)
	d.noteStore(err)
	document := core.Ownership{Region: region}
	switch {
	case errors.Is(err, core.ErrUnchanged):
		return held.document, held.version, nil
	case errors.Is(err, core.ErrNotFound):
		return clone(document), 0, nil
	case err != nil:
		return document, 0, err
	}
	if err := json.Unmarshal(object.Value, &document); err != nil {
		return document, 0, fmt.Errorf("ownership document of region %q: %w", region, err)
	}
	if document.Region != region {
		return document, 0, fmt.Errorf("ownership document of region %q names region %q", region, document.Region)
	}
	d.observe(document, false)
	if region == d.region {
		d.mu.Lock()
		d.held = heldDocument{document: document, version: object.Version}
		d.mu.Unlock()
	}
	return document, object.Version, nil
}

// stored returns what the last read of the own region found, whose document must not be modified, or nothing for other
// regions, which are read only to remove one of their members.
func (d *Documents) stored(region string) heldDocument {
	if region != d.region {
		return heldDocument{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

// noteStore records whether the store answered.
func (d *Documents) noteStore(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDown = err != nil && !errors.Is(err, core.ErrNotFound) && !errors.Is(err, core.ErrConflict) &&
		!errors.Is(err, core.ErrUnchanged)
}

// tell adopts a document that this steer wrote, or spreads it if it belongs to another region.
func (d *Documents) tell(document core.Ownership) {
	if document.Region == d.region {
		d.observe(document, true)
		return
	}
	event.LeaseChanged.Write(d.log, zap.String("region", document.Region), zap.Int64("epoch", document.Epoch))
	d.onChange(document, true)
}

// write replaces the document if it still has the given version.
func (d *Documents) write(ctx context.Context, document core.Ownership, version int64) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = d.store.Put(ctx, core.KeyOwnershipPrefix+document.Region, value, version)
	d.noteStore(err)
	return err
}

// clone returns a document whose maps can be changed.
func clone(document core.Ownership) core.Ownership {
	next := document
	next.Members = maps.Clone(document.Members)
	if next.Members == nil {
		next.Members = map[string]core.Member{}
	}
	next.Objects = maps.Clone(document.Objects)
	if next.Objects == nil {
		next.Objects = map[string]core.ObjectOwner{}
	}
	return next
}

// defaultBackoff doubles the wait up to maxBackoff and draws from its upper half.
func defaultBackoff(n int) time.Duration {
	wait := min(minBackoff<<min(n, 10), maxBackoff)
	return wait/2 + mathrand.N(wait/2)
}

// isDefinite reports whether an error proves that nothing was written.
func isDefinite(err error) bool {
	return errors.Is(err, core.ErrConflict) || errors.Is(err, core.ErrUnavailable) || errors.Is(err, core.ErrTooLarge) ||
		errors.Is(err, core.ErrNotFound)
}

// randomID returns a change id that no other change has.
func randomID() string {
	return rand.Text()
}
