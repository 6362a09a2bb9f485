package lease

import (
	"context"
	"errors"
	"maps"

	"ebonyrouter.dev/core"
)

// Release stops the use of objects and asks the steer to write their release once nothing uses them.
func (h *Holder) Release(objects ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, object := range objects {
		if s, ok := h.owned[object]; ok {
			h.released[object] = s.since
		}
	}
	h.publish()
}

// change asks the steer for the changes that are due.
func (h *Holder) change(ctx context.Context) {
	c, ok := h.planChange(h.timer.Now())
	if !ok {
		return
	}
	ctx, cancel := limited(ctx, h.timer, changeTimeout)
	defer cancel()
	var reply core.LeaseChangeReply
	err := request(ctx, h.links, h.steer, core.TopicLeaseChange, c, &reply)
	h.changed(c, outcomeOf(reply, err))
}

// changed records the outcome of a requested change.
func (h *Holder) changed(c core.LeaseChange, outcome core.LeaseOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Incarnation != h.incarnation {
		return
	}
	if outcome == core.LeaseRefused {
		h.refused(c)
	} else {
		// The document that shows the change may arrive after a refusal of the same change, asked for once more.
		h.undecided(c)
	}
	if outcome == core.LeaseApplied && c.Leave {
		h.listed = false
		h.validUntil = 0
		h.finishDrain()
	}
	h.publish()
}

// finishDrain wakes the callers of Drain.
func (h *Holder) finishDrain() {
	select {
	case <-h.left:
	default:
		close(h.left)
	}
}

// planChange returns the changes that are due at now.
func (h *Holder) planChange(now core.Instant) (core.LeaseChange, bool) {
	c, candidates, ok := h.wantedChange(now)
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

// refused takes back what the steer will not write, unless an earlier request for it may still take effect.
func (h *Holder) refused(c core.LeaseChange) {
	if len(c.Grantors) > 0 && c.GrantorsFrom == h.member.GrantorsFrom && !h.nextUnresolved {
		h.next = nil
	}
	if h.unresolved || h.draining {
		return
	}
	for object, since := range c.Release {
		if h.released[object] == since {
			delete(h.released, object)
		}
	}
}

// releaseAll marks every object of this incarnation for release.
func (h *Holder) releaseAll() {
	for object, s := range h.owned {
		h.released[object] = s.since
	}
}

// startDrain makes the holder release everything.
func (h *Holder) startDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	if !h.listed {
		h.finishDrain()
		return
	}
	h.releaseAll()
	h.publish()
}

// undecided notes that a requested change has taken effect or may still do so.
func (h *Holder) undecided(c core.LeaseChange) {
	if len(c.Grantors) > 0 && c.GrantorsFrom == h.member.GrantorsFrom {
		h.nextUnresolved = true
	}
	for object, since := range c.Release {
		if h.released[object] == since {
			h.unresolved = true
		}
	}
}

// wantedChange returns the wanted changes and the objects that may be released if nothing uses them.
func (h *Holder) wantedChange(now core.Instant) (core.LeaseChange, map[string]int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := core.LeaseChange{
		Grantors:     h.next,
		GrantorsFrom: h.member.GrantorsFrom,
		Host:         h.name,
		Incarnation:  h.incarnation,
		Leave:        h.draining && len(h.owned) == 0,
		Leaving:      h.draining && !h.leaving,
		Region:       h.region,
		Release:      map[string]int64{},
	}
	candidates := maps.Clone(h.released)
	maps.DeleteFunc(candidates, func(object string, _ int64) bool {
		return now.Before(h.owned[object].usableAt)
	})
	return c, candidates, h.listed
}

// outcomeOf returns what a reply or its absence says about a requested change.
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
