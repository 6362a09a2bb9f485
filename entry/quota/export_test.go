package quota

import "ebonyrouter.dev/core"

// Held returns the rate and the burst that the process may use.
func (s *Shares) Held(name string, now core.Instant) (rate, burst float64) {
	c := s.customers[name]
	if c == nil || !now.Before(c.until) {
		return 0, 0
	}
	return c.rate, c.burst
}
