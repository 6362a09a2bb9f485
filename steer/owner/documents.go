package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

const (
	// isolatedRejoinWait is how long a removed host that sees no live member waits before it rejoins. After that time
	// the members may be dead. If they are not, the host is removed again, and its objects are unusable for about 7 s.
	isolatedRejoinWait = 30 * time.Second
	// maxAttempts bounds the attempts of one change. Revoking the 69 members of a zone at the same time causes many
	// conflicts.
	maxAttempts = 12
	// replacedGrantorWait is the time after which no lease that a replaced grantor has confirmed is valid.
	replacedGrantorWait = core.LeaseTerm + core.ClockDriftMargin
)

// ErrOlderIncarnation means that an older incarnation of the host is still a member and was not replaced.
var ErrOlderIncarnation = errors.New("older incarnation of the host is still a member")

// ErrRemoved means that the incarnation was a member and was removed; only a new incarnation can join.
var ErrRemoved = errors.New("incarnation was a member and was removed")

var _ core.OwnershipWriter = (*Documents)(nil)

// Documents reads and changes the ownership document of its region and revokes members of other regions. It belongs to
// the steer of one host.
type Documents struct {
	backoff   func(attempt int) time.Duration
	liveHosts core.HostView
	host      string
	hosts     core.HostView
	log       *zap.Logger
	newID     func() string
	onAdvice  func(core.LeaseAdvice)
	onChange  func(core.Ownership, bool)
	region    string
	settings  core.SettingsSource
	store     core.Store
	timer     core.Timer

	// idle and lastInputs belong to the goroutine that calls Tick: whether its last check found no work, and the inputs
	// of that check.
	idle       bool
	lastInputs inputs

	mu sync.Mutex
	// unhealthySince records since when hosts have been suspected, not ready or no members.
	unhealthySince map[string]core.Instant
	// blockedBy identifies the older incarnation without grantors that last blocked a join, and blockedSince is the
	// time since which it has done so.
	blockedSince core.Instant
	blockedBy    grantorSet
	// document is the newest known document of the region; documentKnown means that there is one.
	document core.Ownership
	cached   cachedDocument
	// localIncarnation is the incarnation of the local entry process that should be a member, or "".
	localIncarnation string
	documentKnown    bool
	// needSince is the time since which the document of needEpoch has needed an assignment under the settings of
	// needRevision; needKnown means that these fields are set.
	needSince     core.Instant
	needEpoch     int64
	needKnown     bool
	needRevision  int64
	otherRegions  map[string]core.Ownership
	registrations map[string]registration
	// removed holds the incarnations of the local host that were members and were removed, and removedAt is the time of
	// the last removal.
	removed   map[string]bool
	removedAt core.Instant
	storeDown bool
	// withdrawn holds the grantors that are known to have withdrawn from withdrawnFrom, a set of the local member.
	withdrawn     []core.GrantorRef
	withdrawnFrom grantorSet
}

// New returns the Documents of region for the steer of host; hosts is the view of the registered hosts.
func New(
	host, region string, store core.Store, timer core.Timer, settings core.SettingsSource, hosts core.HostView, options ...Option,
) *Documents {
	d := &Documents{
		backoff:      defaultBackoff,
		liveHosts:    hosts,
		host:         host,
		hosts:        hosts,
		log:          zap.NewNop(),
		newID:        randomID,
		onAdvice:     func(core.LeaseAdvice) {},
		onChange:     func(core.Ownership, bool) {},
		otherRegions: map[string]core.Ownership{},
		region:       region,
		removed:      map[string]bool{},
		settings:     settings,
		store:        store,
		timer:        timer,
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Change implements core.OwnershipWriter.Change.
func (d *Documents) Change(ctx context.Context, change core.LeaseChange) core.LeaseChangeReply {
	return d.update(ctx, d.region, "change", change.Host, func(document *core.Ownership) mutationResult {
		return applyChange(document, change)
	})
}

// Confirm implements core.OwnershipWriter.Confirm.
func (d *Documents) Confirm(ctx context.Context, renew core.LeaseRenew) core.LeaseReply {
	document, _, err := d.read(ctx, d.region)
	if err != nil {
		return core.LeaseReply{Reason: err.Error()}
	}
	reply := core.LeaseReply{Epoch: document.Epoch}
	member, ok := document.Members[renew.Host]
	switch {
	case !ok || member.Incarnation != renew.Incarnation || renew.Region != d.region:
		reply.Reason = "not a member"
	case renew.Epoch < member.GrantorsFrom:
		// A member that has not seen its current entry could use objects that it has lost.
		reply.Reason = "the member does not know the newest document"
	default:
		reply.Confirmed = true
	}
	return reply
}

// Current returns the newest known document of the region, or false.
func (d *Documents) Current() (core.Ownership, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.document, d.documentKnown
}

// Evict removes members whose processes an operator has declared to be gone for good.
func (d *Documents) Evict(ctx context.Context, hosts ...string) core.LeaseChangeReply {
	return d.update(ctx, d.region, "evict", fmt.Sprint(hosts), func(document *core.Ownership) mutationResult {
		result := mutationResult{}
		for _, name := range hosts {
			if _, ok := document.Members[name]; ok {
				removeMember(document, name)
				result.changed = true
			}
		}
		return result
	})
}

// Join implements core.OwnershipWriter.Join.
func (d *Documents) Join(ctx context.Context, incarnation string) error {
	if d.wasRemoved(incarnation) {
		return ErrRemoved
	}
	if err := d.removeOlderIncarnation(ctx, incarnation); err != nil {
		return err
	}
	reply := d.update(ctx, d.region, "join", d.host, func(document *core.Ownership) mutationResult {
		m, ok := document.Members[d.host]
		switch {
		case ok && m.Incarnation == incarnation:
			return mutationResult{}
		case ok:
			return mutationResult{refusal: ErrOlderIncarnation.Error()}
		}
		document.Members[d.host] = core.Member{
			Grantors:     chooseGrantors(d.self(), d.hosts.Hosts(), d.unhealthyHosts()),
			GrantorsFrom: document.Epoch,
			Host:         d.host,
			Incarnation:  incarnation,
		}
		return mutationResult{changed: true}
	})
	if reply.Outcome != core.LeaseApplied {
		return fmt.Errorf("join host %q: %s", d.host, reply.Reason)
	}
	return nil
}

// Observe implements core.OwnershipWriter.Observe.
func (d *Documents) Observe(document core.Ownership) {
	if document.Region == d.region {
		d.adopt(document, false)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if document.Epoch > d.otherRegions[document.Region].Epoch {
		d.otherRegions[document.Region] = document
	}
}

// Reconcile assigns owners to the objects of the settings that have none.
func (d *Documents) Reconcile(ctx context.Context) error {
	reply := d.update(ctx, d.region, "reconcile", d.region, func(*core.Ownership) mutationResult { return mutationResult{} })
	if reply.Outcome != core.LeaseApplied {
		return fmt.Errorf("reconcile region %q: %s", d.region, reply.Reason)
	}
	return nil
}

// Refresh reads the region's document from the store.
func (d *Documents) Refresh(ctx context.Context) error {
	_, _, err := d.read(ctx, d.region)
	return err
}

// Revoke implements core.OwnershipWriter.Revoke.
func (d *Documents) Revoke(ctx context.Context, revoke core.MemberRevoke) core.LeaseChangeReply {
	if revoke.Region == "" {
		return core.LeaseChangeReply{Outcome: core.LeaseRefused, Reason: "a revocation names no region"}
	}
	return d.update(ctx, revoke.Region, "revoke", revoke.Host, func(document *core.Ownership) mutationResult {
		return applyRevoke(document, revoke)
	})
}

// StoreDown reports whether the store was unavailable for the last call.
func (d *Documents) StoreDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeDown
}

// adopt applies a newer document of the region and passes it to onChange; wrote means that this steer wrote it.
func (d *Documents) adopt(document core.Ownership, wrote bool) {
	d.mu.Lock()
	if document.Region != d.region || d.documentKnown && document.Epoch <= d.document.Epoch {
		d.mu.Unlock()
		return
	}
	if m, ok := d.document.Members[d.host]; ok && document.Members[d.host].Incarnation != m.Incarnation {
		d.removed[m.Incarnation] = true
		d.removedAt = d.timer.Now()
	}
	d.document = document
	d.documentKnown = true
	d.mu.Unlock()
	if wrote {
		event.LeaseChanged.Write(d.log, zap.String("region", d.region), zap.Int64("epoch", document.Epoch))
	}
	d.onChange(document, wrote)
}

// wasRemoved reports whether an incarnation of the local entry process was a member and was removed.
func (d *Documents) wasRemoved(incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.removed[incarnation]
}

// zones maps the registered hosts to their availability zones.
func (d *Documents) zones() map[string]string {
	hosts := d.hosts.Hosts()
	zones := make(map[string]string, len(hosts))
	for _, h := range hosts {
		zones[h.Host] = h.Zone
	}
	return zones
}
