package member

import (
	"time"

	"ebonyrouter.dev/core"
)

// Cost is the number of messages per second that a host of each role and the whole fleet send in a steady state.
type Cost struct {
	Exporter float64
	Host     float64
	Relay    float64
	Total    float64
}

// CostOf returns the cost of a fleet. Exporter and Relay are those of the busiest exporter and of the busiest other
// relay.
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
		nextExporters := t.nextExporters(h, t)
		peers := t.relayPeers(h, hosts, t)
		// frequent counts the messages between exporters, which are sent every digestInterval.
		frequent := len(nextExporters)
		if nextExporters != nil {
			frequent += len(t.exporters[h.Region]) - 1
		}
		rate := perSecond(frequent, digestInterval) + perSecond(len(peers)+len(nextExporters)-frequent, digestIdleInterval) +
			perSecond(len(t.zones[h.Zone])-len(t.relays[h.Zone]), updateIdleInterval)
		if nextExporters != nil {
			c.Exporter = max(c.Exporter, rate)
		} else {
			c.Relay = max(c.Relay, rate)
		}
		c.Total += rate
	}
	return c
}
