package lease

import (
	"context"
	"sync"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
)

const (
	// changeInterval is the time between two checks for a change to request.
	changeInterval = 100 * time.Millisecond
	// changeTimeout bounds one request for a change of a document. It leaves the steer time to retry the write to the
	// store.
	changeTimeout = 5 * time.Second
)

// Run renews the lease and requests pending changes until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { runEvery(ctx, h.timer, core.LeaseRenewInterval, h.renewWithGrantors) })
	tasks.Go(func() { runEvery(ctx, h.timer, core.LeaseRenewInterval, h.renewFromStore) })
	tasks.Go(func() { runEvery(ctx, h.timer, changeInterval, h.requestChange) })
	tasks.Wait()
}

// recordConfirmation extends the lease if the renewal was confirmed. The validity counts from the time the request was
// sent.
func (h *Holder) recordConfirmation(r renewal, reply core.LeaseReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !reply.Confirmed || !h.isMember || r.request.Incarnation != h.incarnation {
		return
	}
	sentAt := r.sentAt
	if r.grantor.Host != "" {
		if r.request.GrantorsFrom != h.member.GrantorsFrom || h.nextGrantors != nil {
			return
		}
		h.confirmations[r.grantor] = max(h.confirmations[r.grantor], r.sentAt)
		var ok bool
		if sentAt, ok = h.quorumSentAt(); !ok {
			return
		}
	}
	if until := sentAt.Add(core.LeaseTerm); until.After(h.validUntil) {
		h.validUntil = until
		h.publish()
	}
}

// grantorRenewals returns the renewals to send to the grantors at now. There are none while a change of grantors is
// undecided.
func (h *Holder) grantorRenewals(now core.Instant) []renewal {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isMember || h.nextGrantors != nil {
		return nil
	}
	var renewals []renewal
	for _, ref := range h.member.Grantors {
		host, ok := h.registeredGrantor(ref)
		if !ok {
			continue
		}
		renewals = append(renewals, renewal{
			address: host.LinkAddress,
			grantor: ref,
			request: h.renewRequest(),
			sentAt:  now,
			topic:   core.TopicLeaseRenew,
		})
	}
	return renewals
}

// renewWithGrantors sends renewals to all grantors in parallel, so that an unresponsive one does not delay the others.
func (h *Holder) renewWithGrantors(ctx context.Context) {
	renewals := h.grantorRenewals(h.timer.Now())
	if len(renewals) == 0 {
		return
	}
	ctx, cancel := withTimeout(ctx, h.timer, core.LeaseRenewInterval)
	defer cancel()
	var tasks sync.WaitGroup
	for _, r := range renewals {
		tasks.Go(func() { h.renew(ctx, r) })
	}
	tasks.Wait()
}

// renewFromStore asks the local steer to confirm the lease by reading the store when no recent quorum of grantors has
// confirmed it.
func (h *Holder) renewFromStore(ctx context.Context) {
	if r, ok := h.storeRenewal(h.timer.Now()); ok {
		ctx, cancel := withTimeout(ctx, h.timer, storeRenewInterval)
		defer cancel()
		h.renew(ctx, r)
	}
}

// renew sends one renewal and records the reply. Errors are ignored, because the next renewal follows soon.
func (h *Holder) renew(ctx context.Context, r renewal) {
	var reply core.LeaseReply
	if err := sendRequest(ctx, h.links, r.address, r.topic, r.request, &reply); err != nil {
		return
	}
	h.recordConfirmation(r, reply)
}

// renewRequest returns the body of a renewal.
func (h *Holder) renewRequest() core.LeaseRenew {
	return core.LeaseRenew{
		Epoch:        (*h.documents.Load())[h.region].Epoch,
		GrantorsFrom: h.member.GrantorsFrom,
		Host:         h.host,
		Incarnation:  h.incarnation,
		Region:       h.region,
	}
}

// storeRenewal returns the renewal through the store that is due at now, or false.
func (h *Holder) storeRenewal(now core.Instant) (renewal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isMember {
		return renewal{}, false
	}
	sentAt, known := h.quorumSentAt()
	stale := !known || h.nextGrantors != nil || now.Sub(sentAt) >= quorumStaleAfter
	askedRecently := h.storeAsked && now.Sub(h.storeAskedAt) < storeRenewInterval
	if askedRecently || !stale {
		return renewal{}, false
	}
	h.storeAsked = true
	h.storeAskedAt = now
	return renewal{address: h.steerAddress, request: h.renewRequest(), sentAt: now, topic: core.TopicLeaseConfirm}, true
}

// runEvery calls task immediately and then once per period until ctx ends.
func runEvery(ctx context.Context, timer core.Timer, period time.Duration, task func(context.Context)) {
	ticks := timer.Subscribe(period)
	defer ticks.Stop()
	for {
		task(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// withTimeout returns a context that is cancelled after timeout on timer.
func withTimeout(ctx context.Context, timer core.Timer, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	expired := timer.After(timeout)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// sendRequest sends message as a request and decodes the response into reply.
func sendRequest(ctx context.Context, links core.Links, address, topic string, message, reply any) error {
	payload, err := wire.Encode(message)
	if err != nil {
		return err
	}
	response, err := links.Request(ctx, address, topic, payload)
	if err != nil {
		return err
	}
	return wire.Decode(response, reply)
}
