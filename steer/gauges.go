package main

// exportGauges registers the gauges of the process state.
func (p *process) exportGauges() {
	p.meter.Gauge("ebony_hosts_heard", func() float64 { return float64(len(p.members.Hosts())) })
	p.meter.Gauge("ebony_hosts_registered", func() float64 { return float64(len(p.members.Registered().Hosts())) })
	p.meter.Gauge("ebony_ownership_epoch", func() float64 {
		document, _ := p.owner.Current()
		return float64(document.Epoch)
	})
	p.meter.Gauge("ebony_revision", func() float64 { return float64(p.settings.Current().Revision()) })
	p.meter.Gauge("ebony_store_available", func() float64 {
		if p.watcher.Available() && !p.owner.StoreDown() {
			return 1
		}
		return 0
	})
}
