package core

import (
	"math"
	"time"
)

const (
	// QuotaLease is how long a host may use a share, counted from before it asked.
	QuotaLease = 8 * time.Second
	// QuotaCoordinatorLease is how long a coordinator grants shares after a write of its record, counted from before the write.
	QuotaCoordinatorLease = 4 * time.Second

	// quotaBurstPart and quotaFallbackPart are the parts of what the bound permits beyond the quota that are added to the
	// burst and that serve hosts without a share. The rest covers the time between the sending of a request by its caller
	// and its counting, and hosts that know different lists of hosts.
	quotaBurstPart    = 0.6
	quotaFallbackPart = 0.2
	// maxFallbackHosts bounds the hosts that may serve requests without a share. Callers use 1 to 3 hosts per region.
	maxFallbackHosts = 12
	// minFallbackPerHost is the least that is worth giving to a host, in requests per window.
	minFallbackPerHost = 1.5
)

// QuotaBounds is the number of a customer's requests that may run on all hosts: in any Window, (rate x Window + burst) x
// (1 + Over) + Slack.
type QuotaBounds struct {
	Over   float64
	Slack  float64
	Window time.Duration
}

// Burst returns the most requests that all shares of a customer together may keep unused.
func (b QuotaBounds) Burst(c *CustomerSettings) float64 {
	return c.Burst + quotaBurstPart*b.excess(c)
}

// Fallback returns the rate in requests per second and the burst that the host of the given rank may use without a share
// if the hosts are ordered equally everywhere. All of them together stay within a part of the excess that shares do not use.
func (b QuotaBounds) Fallback(c *CustomerSettings, rank, hosts int) (rate, burst float64) {
	total := quotaFallbackPart * b.excess(c)
	users := min(hosts, maxFallbackHosts, int(total/minFallbackPerHost))
	if rank < 0 || rank >= users {
		return 0, 0
	}
	part := total / float64(users)
	burst = max(1, part/2)
	return (part - burst) / b.Window.Seconds(), burst
}

// Limit returns the most requests of a customer that may run within a window.
func (b QuotaBounds) Limit(c *CustomerSettings) float64 {
	return c.RequestsPerSecond*b.Window.Seconds() + c.Burst + b.excess(c)
}

// excess returns what the bound permits beyond the quota in a window, in requests.
func (b QuotaBounds) excess(c *CustomerSettings) float64 {
	return math.Max(0, b.Over*(c.RequestsPerSecond*b.Window.Seconds()+c.Burst)+b.Slack)
}
