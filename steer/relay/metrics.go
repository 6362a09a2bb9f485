package relay

import (
	"sync/atomic"

	"ebonyrouter.dev/core/meter"
)

// counters counts the requests of a Relay.
type counters struct {
	// relayed and failed count the requests to relays, and served those that this host has answered.
	relayed atomic.Int64
	failed  atomic.Int64
	served  atomic.Int64
}

// Export adds the metrics of the relay.
func (r *Relay) Export(m *meter.Meter) {
	m.Gauge("ebony_relay_reads_total", func() float64 { return float64(r.counters.relayed.Load()) })
	m.Gauge("ebony_relay_failures_total", func() float64 { return float64(r.counters.failed.Load()) })
	m.Gauge("ebony_relay_served_total", func() float64 { return float64(r.counters.served.Load()) })
}
