package main

// exportDedupMetrics registers the metrics of idempotency records.
func (p *process) exportDedupMetrics() {
	for name, value := range map[string]func() int64{
		"ebony_dedup_fallbacks_total": func() int64 { return p.dedupForwarder.Stats().Fallbacks },
		"ebony_dedup_handled_total":   func() int64 { return p.dedupForwarder.Stats().Handled },
		"ebony_dedup_local_total":     func() int64 { return p.dedupForwarder.Stats().Local },
		"ebony_dedup_sent_total":      func() int64 { return p.dedupForwarder.Stats().Sent },
		"ebony_dedup_recorded_total":  func() int64 { return p.dedup.Stats().Ops },
		"ebony_dedup_writes_total":    func() int64 { return p.dedup.Stats().Writes },
	} {
		p.meter.Gauge(name, func() float64 { return float64(value()) })
	}
}
