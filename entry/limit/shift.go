package limit

import (
	"sync"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// shift enforces the cap of one service between two regions.
type shift struct {
	bucket   bucket
	inFlight int
	mu       sync.Mutex
	object   string
	policy   core.EffectivePolicy
	ramp     shiftRamp
	rate     int64
	request  *pacer
	response *pacer
	// since is the instant from which this process has owned the object without a break, or 0.
	since core.Instant
	timer core.Timer
}

// admit counts one request at the rate that the ramp permits. A shift that is being released is held until its
// requests in flight have ended, so that they may still be admitted until validUntil.
func (s *shift) admit(now core.Instant, lease core.Lease, validUntil core.Instant) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(now, lease)
	if !now.Before(validUntil) {
		return reject(codes.LeaseExpired, bucketWindow, "shift is not owned by this process")
	}
	if err := s.room(now); err != nil {
		return err
	}
	s.bucket.take(now, s.allowed())
	s.ramp.admitted++
	return nil
}

// allowed returns the rate in requests per second that the ramp permits now.
func (s *shift) allowed() int64 {
	if s.rate < 1 {
		return 0
	}
	return max(1, s.rate*s.ramp.percent/fullPercent)
}

// newShift returns a shift that permits nothing before apply.
func newShift(object string, timer core.Timer) *shift {
	return &shift{object: object, request: newPacer(timer), response: newPacer(timer), timer: timer}
}

// apply takes over the settings of the shift.
func (s *shift) apply(rate int64, bandwidth core.ShiftBandwidth, policy core.EffectivePolicy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.request.setRate(bandwidth.Request)
	s.response.setRate(bandwidth.Response)
	s.rate = rate
	s.policy = policy
	s.bucket.grow(int(rate))
}

// observe follows the ownership of the object and advances the ramp.
func (s *shift) observe(now core.Instant, lease core.Lease) {
	if _, ok := lease.Owns(s.object); !ok {
		s.since = 0
	} else if s.since == 0 {
		s.since = now
		s.ramp = shiftRamp{}
	}
	s.ramp.advance(now, s.policy, s.allowed(), s.inFlight)
}

// release records the outcome of one request as evidence for the ramp.
func (s *shift) release(outcome core.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	switch {
	case outcome.Failed || outcome.Shed:
		s.ramp.failed++
	case outcome.Latency > 0:
		s.ramp.ok++
	}
}

// reserve prepares one request if it could be admitted now.
func (s *shift) reserve(now core.Instant, lease core.Lease) (core.ShiftGrant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(now, lease)
	if s.since == 0 {
		return nil, reject(codes.LeaseExpired, bucketWindow, "shift is not owned by this process")
	}
	if err := s.room(now); err != nil {
		return nil, err
	}
	s.inFlight++
	return &shiftGrant{lease: lease, shift: s}, nil
}

// room returns an error if no request may be admitted now.
func (s *shift) room(now core.Instant) error {
	// The previous owner may have used the whole cap up to the moment at which it released the object.
	if owned := now.Sub(s.since); s.since != 0 && owned < bucketWindow {
		return reject(codes.ShiftCapReached, bucketWindow-owned, "shift was taken over less than a second ago")
	}
	if wait := s.bucket.wait(now, s.allowed()); wait > 0 {
		s.ramp.rejected++
		return reject(codes.ShiftCapReached, wait, "cap of the shift is reached")
	}
	return nil
}

// tick observes the shift at a regular time, so that a short loss of ownership is not missed.
func (s *shift) tick(now core.Instant, lease core.Lease) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(now, lease)
	return s.inFlight
}
