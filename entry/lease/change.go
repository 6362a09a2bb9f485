package lease

import (
	"context"
	"errors"
	"maps"

	"ebonyrouter.dev/core"
)

// Release stops new uses of objects; Run requests their release from the steer once they are no longer in use.
func (h *Holder) Release(objects ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, object := range objects {
		if s, ok := h.owned[object]; ok {
			h.releasing[object] = s.sinceEpoch
		}
	}
	h.publish()
}

// requestChange sends the pending change of this process's membership to the steer, if there is one.
func (h *Holder) requestChange(ctx context.Context) {
	c, ok := h.planChange(h.timer.Now())
	if !ok {
		return
	}
	ctx, cancel := withTimeout(ctx, h.timer, changeTimeout)
	defer cancel()
	var reply core.LeaseChangeReply
	err := sendRequest(ctx, h.links, h.steerAddress, core.TopicLeaseChange, c, &reply)
	h.recordOutcome(c, outcomeOf(reply, err))
}

// recordOutcome applies the outcome of a requested change. Outcomes for an earlier incarnation are ignored.
func (h *Holder) recordOutcome(c core.LeaseChange, outcome core.LeaseOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Incarnation != h.incarnation {
		return
	}
	if outcome == core.LeaseRefused {
		h.undoRefused(c)
	} else {
		// An applied change counts as unresolved as well: a repeated request for it may be refused before the document
		// with the change arrives.
		h.markUnresolved(c)
	}
	if outcome == core.LeaseApplied && c.Leave {
		h.isMember = false
		h.validUntil = 0
		h.finishDrain()
	}
	h.publish()
}

// finishDrain unblocks the callers of Drain; it may be called more than once.
func (h *Holder) finishDrain() {
	select {
	case <-h.drained:
	default:
		close(h.drained)
	}
}

// planChange returns the change to request at now, or false if there is none. Objects in use are not released.
func (h *Holder) planChange(now core.Instant) (core.LeaseChange, bool) {
	c, candidates, ok := h.pendingChange(now)
	if !ok {
		return c, false
	}
	for object, since := range candidates {
		if h.inUse(object) == 0 {
			c.Release[object] = since
		}
	}
	return c, c.Leave || c.Leaving || len(c.Grantors) > 0 || len(c.Release) > 0
}

// undoRefused drops the requested changes that the steer refused, unless an earlier request for them may still take
// effect.
func (h *Holder) undoRefused(c core.LeaseChange) {
	if len(c.Grantors) > 0 && c.GrantorsFrom == h.member.GrantorsFrom && !h.grantorsUnresolved {
		h.nextGrantors = nil
	}
	if h.releaseUnresolved || h.draining {
		return
	}
	for object, since := range c.Release {
		if h.releasing[object] == since {
			delete(h.releasing, object)
		}
	}
}

// releaseAll marks all objects of this incarnation for release.
func (h *Holder) releaseAll() {
	for object, s := range h.owned {
		h.releasing[object] = s.sinceEpoch
	}
}

// startDrain starts the release of all objects. It completes the drain if this incarnation is not a member.
func (h *Holder) startDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	if !h.isMember {
		h.finishDrain()
		return
	}
	h.releaseAll()
	h.publish()
}

// markUnresolved records that a requested change has taken effect or may still do so.
func (h *Holder) markUnresolved(c core.LeaseChange) {
	if len(c.Grantors) > 0 && c.GrantorsFrom == h.member.GrantorsFrom {
		h.grantorsUnresolved = true
	}
	for object, since := range c.Release {
		if h.releasing[object] == since {
			h.releaseUnresolved = true
		}
	}
}

// pendingChange returns the pending change without its releases, the objects to release once they are not in use, and
// whether this incarnation is a member. Objects in their takeover wait are left out.
func (h *Holder) pendingChange(now core.Instant) (core.LeaseChange, map[string]int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := core.LeaseChange{
		Grantors:     h.nextGrantors,
		GrantorsFrom: h.member.GrantorsFrom,
		Host:         h.host,
		Incarnation:  h.incarnation,
		Leave:        h.draining && len(h.owned) == 0,
		Leaving:      h.draining && !h.leaving,
		Region:       h.region,
		Release:      map[string]int64{},
	}
	candidates := maps.Clone(h.releasing)
	maps.DeleteFunc(candidates, func(object string, _ int64) bool {
		return now.Before(h.owned[object].usableAt)
	})
	return c, candidates, h.isMember
}

// outcomeOf returns the outcome of a requested change. Without a reply the change counts as refused only if the request
// was not sent.
func outcomeOf(reply core.LeaseChangeReply, err error) core.LeaseOutcome {
	switch {
	case err == nil && reply.Outcome != "":
		return reply.Outcome
	case errors.Is(err, core.ErrLinkDown), errors.Is(err, core.ErrRingFull):
		return core.LeaseRefused
	default:
		return core.LeaseUnknown
	}
}
