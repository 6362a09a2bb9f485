package dedup

import (
	"slices"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// errFenced is the error of a Finish whose record was released, has expired or belongs to another attempt.
const errFenced = errors.ConstError("record does not belong to this attempt")

// plan is the new head of a shard after a batch of ops, with the result of each op.
type plan struct {
	// changed means that the head must be written.
	changed bool
	// garbage lists the numbers of the segments that no head refers to once the plan is written.
	garbage []int64
	head    *head
	nowMs   int64
	results []opResult
	// needsFreshHead means that the plan may only be used if the head was just read, because a decision depends on a
	// record that another process may have changed since an earlier read.
	needsFreshHead bool
}

// begin decides whether an attempt may run, and if so adds its running record; findSealed looks up a key in the sealed
// segments.
func (p *plan) begin(o *op, findSealed func(key []byte) (*record, error)) (core.DedupResult, error) {
	i := p.head.find(o.key)
	if i >= 0 && !p.head.Records[i].expired(p.nowMs) {
		r := &p.head.Records[i]
		if r.State == core.DedupRunning {
			if r.ownedBy(o.request) && (o.writeUnknown || r.Try < o.request.Try) {
				p.raiseTry(r, o)
				return core.DedupResult{State: core.DedupNew}, nil
			}
			p.needsFreshHead = true
		}
		return r.result(o.fingerprint, p.nowMs), nil
	}
	sealed, err := findSealed(o.key)
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

// finish records the outcome of an attempt if the record still belongs to it; findSealed looks up a key in the sealed
// segments.
func (p *plan) finish(o *op, findSealed func(key []byte) (*record, error)) (opResult, error) {
	i := p.head.find(o.key)
	if i >= 0 && p.head.Records[i].Attempt == o.request.Attempt {
		p.recordOutcome(i, o)
		return opResult{}, nil
	}
	p.needsFreshHead = true
	if o.outcome.Ran == core.RanNo {
		return opResult{}, nil
	}
	if !o.writeUnknown {
		return opResult{err: errFenced}, nil
	}
	// An earlier write of this op whose response was lost may have recorded the outcome and sealed the record.
	sealed, err := findSealed(o.key)
	if err != nil || sealed != nil && sealed.Attempt == o.request.Attempt {
		return opResult{}, err
	}
	return opResult{err: errFenced}, nil
}

// recordOutcome stores the outcome of an op in the recordOutcome at index i; a not-run outcome removes the recordOutcome if it is running. A
// known outcome replaces an unknown one, and a whole one a truncated one; otherwise a recorded outcome does not change.
func (p *plan) recordOutcome(i int, o *op) {
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
// A write with an unknown result may still take effect while the head has the version that the write is conditional on.
// In this case the head is written without a change: its new version makes the earlier write fail.
func (p *plan) release(o *op, version int64) {
	i := p.head.find(o.key)
	if i >= 0 && p.head.Records[i].ownedBy(o.request) {
		if p.head.Records[i].State == core.DedupRunning {
			p.remove(i)
		}
		return
	}
	if o.writeUnknown && o.unknownWriteVersion == version {
		p.changed = true
	}
}

// remove deletes the record at index i from the head.
func (p *plan) remove(i int) {
	p.head.Records = slices.Delete(p.head.Records, i, i+1)
	p.changed = true
}

// raiseTry sets the try of a running record to the higher try of the op. If this were not written, a late release of the
// lower try would remove the record while the attempt runs.
func (p *plan) raiseTry(r *record, o *op) {
	if r.Try < o.request.Try {
		r.Try = o.request.Try
		p.changed = true
	}
}

// extractFinal removes the records that can no longer change from the head and returns them. It also drops expired
// records and segments.
func (p *plan) extractFinal() []record {
	var final, running []record
	for _, r := range p.head.Records {
		switch {
		case r.expired(p.nowMs):
		case r.State == core.DedupRunning:
			running = append(running, r)
		default:
			final = append(final, r)
		}
	}
	p.head.Records = running
	var live []sealedSegment
	for _, s := range p.head.Sealed {
		if p.nowMs > s.ExpiresMs+maxClockSkewMs {
			p.garbage = append(p.garbage, s.Number)
			continue
		}
		live = append(live, s)
	}
	p.head.Sealed = live
	return final
}
