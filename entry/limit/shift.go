package limit

import (
	"sync"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// shift enforces the request rate and the bandwidth of one service between two regions.
type shift struct {
	bucket   bucket
	inFlight int
	mu       sync.Mutex
	object   string
	policy   core.EffectivePolicy
	ramp     shiftRamp
	// rate is the cap in requests per second.
	rate          int64
	requestPacer  *pacer
	responsePacer *pacer
	// ownedSince is the start of the uninterrupted ownership of the object by this process, or 0 if it is not owned.
	ownedSince core.Instant
	timer      core.Timer
}

// admit counts one request against the rate that the ramp permits. The lease of a shift that is being released is kept
// until the in-flight requests have ended, so they may still be admitted until validUntil.
func (s *shift) admit(now core.Instant, lease core.Lease, validUntil core.Instant) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now, lease)
	if !now.Before(validUntil) {
		return reject(codes.LeaseExpired, bucketWindow, "shift is not owned by this process")
	}
	if err := s.checkCap(now); err != nil {
		return err
	}
	s.bucket.admit(now, s.permittedRate())
	s.ramp.admitted++
	return nil
}

// permittedRate returns the number of requests per second that the ramp permits now.
func (s *shift) permittedRate() int64 {
	if s.rate < 1 {
		return 0
	}
	return max(1, s.rate*s.ramp.percent/fullPercent)
}

// newShift returns a shift that admits nothing until apply is called.
func newShift(object string, timer core.Timer) *shift {
	return &shift{object: object, requestPacer: newPacer(timer), responsePacer: newPacer(timer), timer: timer}
}

// apply adopts the settings of the shift.
func (s *shift) apply(rate int64, bandwidth core.ShiftBandwidth, policy core.EffectivePolicy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestPacer.setRate(bandwidth.Request)
	s.responsePacer.setRate(bandwidth.Response)
	s.rate = rate
	s.policy = policy
	s.bucket.grow(int(rate))
}

// update tracks the ownership of the object and advances the ramp. The caller holds the mutex.
func (s *shift) update(now core.Instant, lease core.Lease) {
	if _, ok := lease.Owns(s.object); !ok {
		s.ownedSince = 0
	} else if s.ownedSince == 0 {
		s.ownedSince = now
		s.ramp = shiftRamp{}
	}
	s.ramp.advance(now, s.policy, s.permittedRate(), s.inFlight)
}

// release ends one request and records its outcome for the ramp.
func (s *shift) release(outcome core.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	switch {
	case outcome.Failed || outcome.Shed:
		s.ramp.failed++
	case outcome.Latency > 0:
		s.ramp.succeeded++
	}
}

// reserve returns a grant for one request if it could be admitted now.
func (s *shift) reserve(now core.Instant, lease core.Lease) (core.ShiftGrant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now, lease)
	if s.ownedSince == 0 {
		return nil, reject(codes.LeaseExpired, bucketWindow, "shift is not owned by this process")
	}
	if err := s.checkCap(now); err != nil {
		return nil, err
	}
	s.inFlight++
	return &shiftGrant{lease: lease, shift: s}, nil
}

// checkCap returns a rejection if the cap permits no request now.
func (s *shift) checkCap(now core.Instant) error {
	// The previous owner may have used the whole cap in the second before it released the object.
	if ownedFor := now.Sub(s.ownedSince); s.ownedSince != 0 && ownedFor < bucketWindow {
		return reject(codes.ShiftCapReached, bucketWindow-ownedFor, "shift was taken over less than a second ago")
	}
	if wait := s.bucket.delay(now, s.permittedRate()); wait > 0 {
		s.ramp.rejected++
		return reject(codes.ShiftCapReached, wait, "cap of the shift is reached")
	}
	return nil
}

// tick updates the shift and returns the number of in-flight requests. Periodic calls detect a short loss of ownership.
func (s *shift) tick(now core.Instant, lease core.Lease) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now, lease)
	return s.inFlight
}
