package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/quota"
)

var tested = core.CustomerSettings{Name: "c", RequestsPerSecond: 20, Burst: 10}

// askOnce returns shares that wait for the reply to an ask at now, and the reply that grants 4 requests per second.
func askOnce(now core.Instant) (*quota.Shares, core.QuotaReply) {
	s := quota.NewShares("h", "i", simBounds, now)
	s.Take(&tested, -1, 1, now)
	s.Wait("c", 1)
	ask, _ := s.Ask(false, now)
	return s, core.QuotaReply{
		Coordinating: true, Number: ask.Number, Token: core.QuotaToken{Era: 1, Number: 5},
		Shares: []core.QuotaShare{{Customer: "c", Rate: 4, Burst: 6, Tokens: 2, Total: 20}},
	}
}

// TestAdopt guards against shares of a reply that another ask or another election has replaced, and against a lease that begins
// later than the ask.
func TestAdopt(t *testing.T) {
	cases := map[string]struct {
		change  func(s *quota.Shares, r *core.QuotaReply, now core.Instant)
		delay   time.Duration
		adopted bool
	}{
		"latest":              {func(*quota.Shares, *core.QuotaReply, core.Instant) {}, time.Second, true},
		"not the coordinator": {func(_ *quota.Shares, r *core.QuotaReply, _ core.Instant) { r.Coordinating = false }, 0, false},
		"earlier ask":         {func(s *quota.Shares, _ *core.QuotaReply, now core.Instant) { s.Ask(true, now) }, 0, false},
		"earlier election": {func(s *quota.Shares, _ *core.QuotaReply, _ core.Instant) {
			s.Follow(core.QuotaToken{Era: 1, Number: 6})
		}, 0, false},
		"earlier era": {func(s *quota.Shares, _ *core.QuotaReply, _ core.Instant) {
			s.Follow(core.QuotaToken{Era: 2, Number: 1})
		}, 0, false},
		"after a pause":         {func(*quota.Shares, *core.QuotaReply, core.Instant) {}, core.QuotaLease, false},
		"just before the lease": {func(*quota.Shares, *core.QuotaReply, core.Instant) {}, core.QuotaLease - time.Millisecond, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := core.Instant(time.Hour)
			s, reply := askOnce(now)
			c.change(s, &reply, now)
			_, adopted := s.Adopt(reply, now.Add(c.delay))
			assert.Equal(t, adopted, c.adopted)
			rate, _ := s.Held("c", now.Add(core.QuotaLease-time.Nanosecond))
			assert.Equal(t, rate > 0, c.adopted)
			assert.Equal(t, s.Take(&tested, -1, 1, now.Add(core.QuotaLease)), quota.Pending, "the lease counts from the ask")
		})
	}
}

// TestGiveBack guards against unused requests that are given back and kept at the same time: the burst shrinks with them, so that they
// cannot accrue again before the next share.
func TestGiveBack(t *testing.T) {
	now := core.Instant(time.Hour)
	s, reply := askOnce(now)
	s.Wait("c", -1)
	s.Adopt(reply, now)
	for range 40 {
		s.Count("c")
	}
	now = now.Add(2 * time.Second)
	ask, _ := s.Ask(false, now)
	q := ask.Customers[0]
	assert.Equal(t, q.Returned, 3.0)
	assert.Equal(t, q.Burst, 3.0)
	assert.Equal(t, q.Level, 3.0)
	taken := 0
	for now = now.Add(5 * time.Second); s.Take(&tested, -1, 1, now) == quota.Taken; {
		taken++
	}
	assert.Equal(t, taken, 3)
}

// TestIdleCustomersAreForgotten guards against memory and messages for customers without requests, and against a fallback that is full
// again after a customer was forgotten or the process restarted.
func TestIdleCustomersAreForgotten(t *testing.T) {
	now := core.Instant(time.Hour)
	s := quota.NewShares("h", "i", simBounds, now)
	assert.Equal(t, s.Take(&tested, 0, 1, now), quota.Pending, "a process that has just started has no fallback")
	now = now.Add(time.Minute)
	taken := 0
	for s.Take(&tested, 0, 1, now) == quota.Taken {
		taken++
	}
	assert.Assert(t, taken > 0)
	for range 8 {
		now = now.Add(time.Second)
		s.Ask(false, now)
	}
	taken = 0
	for s.Take(&tested, 0, 1, now) == quota.Taken {
		taken++
	}
	_, burst := simBounds.Fallback(&tested, 0, 1)
	assert.Assert(t, float64(taken) <= burst)
	for range 60 {
		now = now.Add(time.Second)
		if ask, needed := s.Ask(false, now); needed {
			assert.Assert(t, s.Len() == 1, "%v", ask)
		}
	}
	assert.Equal(t, s.Len(), 0)
}

// TestAskFitsInFrame guards against a host with very many active customers that gets no shares at all, because its ask is invalid.
func TestAskFitsInFrame(t *testing.T) {
	now := core.Instant(time.Hour)
	s := quota.NewShares("h", "i", simBounds, now)
	for i := range 10000 {
		s.Take(&core.CustomerSettings{Name: fmt.Sprintf("customer-%d", i), RequestsPerSecond: 1}, -1, 1, now)
	}
	asked := map[string]bool{}
	for range 16 {
		ask, _ := s.Ask(false, now)
		assert.NilError(t, ask.Validate())
		for _, c := range ask.Customers {
			asked[c.Customer] = true
		}
	}
	assert.Assert(t, len(asked) > 9900, "%d", len(asked))
}

// TestLowerQuotaWithoutCoordinator guards against shares of the earlier quota that stay in use until their leases end, while the
// coordinator does not answer.
func TestLowerQuotaWithoutCoordinator(t *testing.T) {
	now := core.Instant(time.Hour)
	s, reply := askOnce(now)
	s.Adopt(reply, now)
	lower := tested
	lower.RequestsPerSecond = 5
	s.Take(&lower, -1, 1, now)
	rate, burst := s.Held("c", now)
	assert.Equal(t, rate, 1.0)
	assert.Equal(t, burst, 1.5)
	s.Take(&tested, -1, 1, now)
	rate, _ = s.Held("c", now)
	assert.Equal(t, rate, 1.0, "a higher quota applies with the next share")
}
