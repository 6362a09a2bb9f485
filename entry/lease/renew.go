package lease

import (
	"context"
	"sync"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
)

const (
	// changeInterval is the time between two looks for objects that can be released.
	changeInterval = 100 * time.Millisecond
	// changeTimeout bounds one request for a change of the document, which the steer may retry at the store.
	changeTimeout = 5 * time.Second
)

// Run renews the lease and asks for releases until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { every(ctx, h.timer, core.LeaseRenewInterval, h.renewAtGrantors) })
	tasks.Go(func() { every(ctx, h.timer, core.LeaseRenewInterval, h.renewAtStore) })
	tasks.Go(func() { every(ctx, h.timer, changeInterval, h.change) })
	tasks.Wait()
}

// confirmed records a confirmation; its validity counts from before the request was sent.
func (h *Holder) confirmed(r renewal, reply core.LeaseReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !reply.Confirmed || !h.listed || r.request.Incarnation != h.incarnation {
		return
	}
	sentAt := r.sentAt
	if r.grantor.Host != "" {
		if r.request.GrantorsFrom != h.member.GrantorsFrom || h.next != nil {
			return
		}
		h.answers[r.grantor] = max(h.answers[r.grantor], r.sentAt)
		var ok bool
		if sentAt, ok = h.quorum(); !ok {
			return
		}
	}
	if until := sentAt.Add(core.LeaseTerm); until.After(h.validUntil) {
		h.validUntil = until
		h.publish()
	}
}

// grantorRenewals returns the requests to the grantors that are due at now.
func (h *Holder) grantorRenewals(now core.Instant) []renewal {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed || h.next != nil {
		return nil
	}
	var renewals []renewal
	for _, ref := range h.member.Grantors {
		host, ok := h.registered(ref)
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

// renewAtGrantors sends one renewal to each grantor; a silent one does not delay the answers of the others.
func (h *Holder) renewAtGrantors(ctx context.Context) {
	renewals := h.grantorRenewals(h.timer.Now())
	if len(renewals) == 0 {
		return
	}
	ctx, cancel := limited(ctx, h.timer, core.LeaseRenewInterval)
	defer cancel()
	var tasks sync.WaitGroup
	for _, r := range renewals {
		tasks.Go(func() { h.renew(ctx, r) })
	}
	tasks.Wait()
}

// renewAtStore asks the local steer to look into the store, when the grantors are silent.
func (h *Holder) renewAtStore(ctx context.Context) {
	if r, ok := h.storeRenewal(h.timer.Now()); ok {
		ctx, cancel := limited(ctx, h.timer, storeInterval)
		defer cancel()
		h.renew(ctx, r)
	}
}

// renew sends one renewal and records the answer.
func (h *Holder) renew(ctx context.Context, r renewal) {
	var reply core.LeaseReply
	if err := request(ctx, h.links, r.address, r.topic, r.request, &reply); err != nil {
		return
	}
	h.confirmed(r, reply)
}

// renewRequest returns the content of a renewal.
func (h *Holder) renewRequest() core.LeaseRenew {
	return core.LeaseRenew{
		Epoch:        (*h.documents.Load())[h.region].Epoch,
		GrantorsFrom: h.member.GrantorsFrom,
		Host:         h.name,
		Incarnation:  h.incarnation,
		Region:       h.region,
	}
}

// storeRenewal returns the request to the store that is due at now.
func (h *Holder) storeRenewal(now core.Instant) (renewal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed {
		return renewal{}, false
	}
	confirmedAt, known := h.quorum()
	silent := !known || h.next != nil || now.Sub(confirmedAt) >= quorumSilence
	fresh := h.storeAskedOnce && now.Sub(h.storeAsked) < storeInterval
	if fresh || !silent {
		return renewal{}, false
	}
	h.storeAskedOnce = true
	h.storeAsked = now
	return renewal{address: h.steer, request: h.renewRequest(), sentAt: now, topic: core.TopicLeaseConfirm}, true
}

// every calls task once now and then once per period until ctx ends.
func every(ctx context.Context, timer core.Timer, period time.Duration, task func(context.Context)) {
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

// limited returns a context that ends after timeout of timer.
func limited(ctx context.Context, timer core.Timer, timeout time.Duration) (context.Context, context.CancelFunc) {
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

// request sends one message and decodes its reply.
func request(ctx context.Context, links core.Links, address, topic string, message, reply any) error {
	payload, err := wire.Encode(message)
	if err != nil {
		return err
	}
	answer, err := links.Request(ctx, address, topic, payload)
	if err != nil {
		return err
	}
	return wire.Decode(answer, reply)
}
