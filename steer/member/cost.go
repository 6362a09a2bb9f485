package member

import (
	"time"

	"ebonyrouter.dev/core"
)

// Cost is the number of messages per second that this package sends in a steady state.
type Cost struct {
	Exporter float64
	Host     float64
	Relay    float64
	Total    float64
}

// CostOf returns the cost of a fleet; Relay is that of the busiest relay that is not an exporter.
func CostOf(hosts map[string]core.Host) Cost {
	t := newTopology(hosts, nil)
	perSecond := func(messages int, period time.Duration) float64 {
		return float64(messages) / period.Seconds()
	}
	var c Cost
	for _, h := range hosts {
		if !t.isRelay(h) {
			continue
		}
		next := t.nextExporters(h, t)
		peers := t.relayPeers(h, hosts, t)
		exchanged := len(next)
		if next != nil {
			exchanged += len(t.exporters[h.Region]) - 1
		}
		rate := perSecond(exchanged, digestInterval) + perSecond(len(peers)+len(next)-exchanged, digestIdle) +
			perSecond(len(t.zones[h.Zone])-len(t.relays[h.Zone]), updateIdle)
		if next != nil {
			c.Exporter = max(c.Exporter, rate)
		} else {
			c.Relay = max(c.Relay, rate)
		}
		c.Total += rate
	}
	return c
}
