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

// changeState is the state of one change across its attempts.
type changeState struct {
	id     string
	region string
	// unresolved means that a write of the change, based on version unresolvedBase, has an unknown result.
	unresolved     bool
	unresolvedBase int64
}

// update computes and writes a change, with retries, until its outcome is known or maxAttempts is reached.
func (d *Documents) update(ctx context.Context, region, reason, subject string, mutate mutation) core.LeaseChangeReply {
	c := &changeState{id: d.newID(), region: region}
	var lastErr error
	for n := range maxAttempts {
		if n > 0 {
			d.pause(ctx, d.backoff(n))
		}
		if ctx.Err() != nil {
			lastErr = ctx.Err()
			break
		}
		reply, done, err := d.attempt(ctx, c, mutate)
		if done {
			return reply
		}
		lastErr = err
		event.LeaseWriteFailed.Write(d.log, zap.String("reason", reason), zap.String("subject", subject), zap.Error(err))
		if errors.Is(err, core.ErrUnavailable) && !c.unresolved {
			break
		}
	}
	reply := core.LeaseChangeReply{Outcome: core.LeaseRefused, Reason: lastErr.Error(), StoreDown: d.StoreDown()}
	if c.unresolved {
		reply.Outcome = core.LeaseUnknown
	}
	return reply
}

// attempt reads the newest document and writes the change to it; done means that the outcome is known.
func (d *Documents) attempt(ctx context.Context, c *changeState, mutate mutation) (core.LeaseChangeReply, bool, error) {
	old, version, err := d.read(ctx, c.region)
	if err != nil {
		return core.LeaseChangeReply{}, false, err
	}
	if c.unresolved && version != c.unresolvedBase {
		// The object has another version, so the write based on the old one has taken effect or never will.
		c.unresolved = false
		if old.ChangeID == c.id {
			return core.LeaseChangeReply{Epoch: old.Epoch, Outcome: core.LeaseApplied}, true, nil
		}
	}
	next := clone(old)
	next.Epoch++
	result := mutate(&next)
	if result.refusal != "" {
		reply := core.LeaseChangeReply{Epoch: old.Epoch, Outcome: core.LeaseRefused, Reason: result.refusal}
		if c.unresolved {
			reply.Outcome = core.LeaseUnknown
		}
		return reply, true, nil
	}
	if assigned := Assign(&next, Objects(d.settings.Current(), c.region), d.zones()); !result.changed && !assigned {
		return core.LeaseChangeReply{Epoch: old.Epoch, Outcome: core.LeaseApplied}, true, nil
	}
	next.ChangeID = c.id
	if err := d.write(ctx, next, version); err != nil {
		if !provesNotWritten(err) {
			c.unresolved = true
			c.unresolvedBase = version
		}
		return core.LeaseChangeReply{}, false, err
	}
	d.announce(next)
	return core.LeaseChangeReply{Epoch: next.Epoch, Outcome: core.LeaseApplied}, true, nil
}

// pause waits before the next attempt, at most until ctx ends.
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
	cached := d.cachedFor(region)
	object, err := store.GetChanged(ctx, d.store, core.KeyOwnershipPrefix+region, cached.version)
	d.recordStoreResult(err)
	document := core.Ownership{Region: region}
	switch {
	case errors.Is(err, core.ErrUnchanged):
		return cached.document, cached.version, nil
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
	d.adopt(document, false)
	if region == d.region {
		d.mu.Lock()
		d.cached = cachedDocument{document: document, version: object.Version}
		d.mu.Unlock()
	}
	return document, object.Version, nil
}

// cachedFor returns the result of the last read of the local region, whose document must not be modified. It returns an
// empty result for other regions, whose documents are read only when one of their members is to be removed.
func (d *Documents) cachedFor(region string) cachedDocument {
	if region != d.region {
		return cachedDocument{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cached
}

// recordStoreResult records whether the store was available for a call that returned err.
func (d *Documents) recordStoreResult(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDown = err != nil && !errors.Is(err, core.ErrNotFound) && !errors.Is(err, core.ErrConflict) &&
		!errors.Is(err, core.ErrUnchanged)
}

// announce adopts a document that this steer wrote, or passes it to onChange if it belongs to another region.
func (d *Documents) announce(document core.Ownership) {
	if document.Region == d.region {
		d.adopt(document, true)
		return
	}
	event.LeaseChanged.Write(d.log, zap.String("region", document.Region), zap.Int64("epoch", document.Epoch))
	d.onChange(document, true)
}

// write stores the document if the stored one still has the given version.
func (d *Documents) write(ctx context.Context, document core.Ownership, version int64) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = d.store.Put(ctx, core.KeyOwnershipPrefix+document.Region, value, version)
	d.recordStoreResult(err)
	return err
}

// clone returns a copy of document whose maps can be modified.
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

// defaultBackoff returns a random wait from the upper half of an interval that doubles with each retry up to maxBackoff.
func defaultBackoff(n int) time.Duration {
	wait := min(minBackoff<<min(n, 10), maxBackoff)
	return wait/2 + mathrand.N(wait/2)
}

// provesNotWritten reports whether err proves that nothing was written.
func provesNotWritten(err error) bool {
	return errors.Is(err, core.ErrConflict) || errors.Is(err, core.ErrUnavailable) || errors.Is(err, core.ErrTooLarge) ||
		errors.Is(err, core.ErrNotFound)
}

// randomID returns a unique change ID.
func randomID() string {
	return rand.Text()
}
