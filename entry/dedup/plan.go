package dedup

import (
	"slices"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// errFenced is the error of a Finish whose record was released, has expired or belongs to another attempt.
const errFenced = errors.ConstError("record does not belong to this attempt")

// plan is what a batch of ops makes of the head of a shard.
type plan struct {
	changed bool
	// garbage lists segments that no head names once the plan is written.
	garbage []int64
	head    *head
	nowMs   int64
	results []opResult
	// stale means that a decision depends on a record that another process may have changed.
	stale bool
}

// begin decides on an attempt; find looks a key up in the sealed segments.
func (p *plan) begin(o *op, find func(key []byte) (*record, error)) (core.DedupResult, error) {
	i := p.head.find(o.key)
	if i >= 0 && !p.head.Records[i].expired(p.nowMs) {
		r := &p.head.Records[i]
		if r.State == core.DedupRunning {
			if r.heldBy(o.request) && (o.maybe || r.Try < o.request.Try) {
				p.take(r, o)
				return core.DedupResult{State: core.DedupNew}, nil
			}
			p.stale = true
		}
		return r.result(o.fingerprint, p.nowMs), nil
	}
	sealed, err := find(o.key)
	if err != nil {
		return core.DedupResult{}, err
	}
	if sealed != nil && !sealed.expired(p.nowMs) {
		return sealed.result(o.fingerprint, p.nowMs), nil
	}
	if i >= 0 {
		p.remove(i)
	}
	p.head.Records = append(p.head.Records, record{
		Attempt:     o.request.Attempt,
		BeganMs:     p.nowMs,
		ExpiresMs:   p.nowMs + o.request.RetentionS*1000,
		Fingerprint: o.fingerprint,
		Key:         o.key,
		State:       core.DedupRunning,
		Try:         o.request.Try,
	})
	p.changed = true
	return core.DedupResult{State: core.DedupNew}, nil
}

// finish records the outcome of an attempt if the record is still its own; find looks a key up in the sealed segments.
func (p *plan) finish(o *op, find func(key []byte) (*record, error)) (opResult, error) {
	i := p.head.find(o.key)
	if i >= 0 && p.head.Records[i].Attempt == o.request.Attempt {
		p.record(i, o)
		return opResult{}, nil
	}
	p.stale = true
	if o.outcome.Ran == core.RanNo {
		return opResult{}, nil
	}
	if !o.maybe {
		return opResult{err: errFenced}, nil
	}
	// The write whose answer was lost may have sealed the record.
	sealed, err := find(o.key)
	if err != nil || sealed != nil && sealed.Attempt == o.request.Attempt {
		return opResult{}, err
	}
	return opResult{err: errFenced}, nil
}

// record gives the record with index i the outcome of an op.
func (p *plan) record(i int, o *op) {
	if o.outcome.Ran == core.RanNo {
		if p.head.Records[i].State == core.DedupRunning {
			p.remove(i)
		}
		return
	}
	state := core.DedupUnknown
	if o.outcome.Ran == core.RanYes {
		state = core.DedupDone
	}
	r := &p.head.Records[i]
	if r.State == core.DedupDone && (!r.Outcome.Truncated || o.outcome.Truncated || state != core.DedupDone) {
		return
	}
	if r.State == core.DedupUnknown && state == core.DedupUnknown {
		return
	}
	r.Outcome = &o.outcome
	r.State = state
	r.ExpiresMs = p.nowMs + o.request.RetentionS*1000
	p.changed = true
}

// release removes the running record of an attempt that never runs.
//
// A write of unknown outcome may still take effect as long as the head has the version that it is conditional
// on. In this case the head is written unchanged to fence it off.
func (p *plan) release(o *op, version int64) {
	i := p.head.find(o.key)
	if i >= 0 && p.head.Records[i].heldBy(o.request) {
		if p.head.Records[i].State == core.DedupRunning {
			p.remove(i)
		}
		return
	}
	if o.maybe && o.fence == version {
		p.changed = true
	}
}

// remove deletes a record of the head.
func (p *plan) remove(i int) {
	p.head.Records = slices.Delete(p.head.Records, i, i+1)
	p.changed = true
}

// take gives the running record of a lower try to the try of the op. Without the write, a late release of the lower
// try would remove the record while the attempt runs.
func (p *plan) take(r *record, o *op) {
	if r.Try < o.request.Try {
		r.Try = o.request.Try
		p.changed = true
	}
}

// split moves the records that cannot change any more out of the head and drops expired ones.
func (p *plan) split() []record {
	var sealed, kept []record
	for _, r := range p.head.Records {
		switch {
		case r.expired(p.nowMs):
		case r.State == core.DedupRunning:
			kept = append(kept, r)
		default:
			sealed = append(sealed, r)
		}
	}
	p.head.Records = kept
	var live []sealedSegment
	for _, s := range p.head.Sealed {
		if p.nowMs > s.ExpiresMs+clockMarginMs {
			p.garbage = append(p.garbage, s.Number)
			continue
		}
		live = append(live, s)
	}
	p.head.Sealed = live
	return sealed
}
