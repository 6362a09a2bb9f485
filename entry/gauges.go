package main

import "ebonyrouter.dev/entry/limit"

// exportGauges registers the gauges for the state of the process.
func (p *process) exportGauges() {
	for name, value := range map[string]func(limit.Stats) int{
		"ebony_shifts":              func(s limit.Stats) int { return s.Shifts },
		"ebony_shifts_ramping":      func(s limit.Stats) int { return s.ShiftsRamping },
		"ebony_targets":             func(s limit.Stats) int { return s.Targets },
		"ebony_targets_ejected":     func(s limit.Stats) int { return s.Ejected },
		"ebony_targets_last_resort": func(s limit.Stats) int { return s.LastResort },
		"ebony_targets_ramping":     func(s limit.Stats) int { return s.Ramping },
	} {
		p.meter.Gauge(name, func() float64 { return float64(value(p.limiter.Stats())) })
	}
	p.meter.Gauge("ebony_in_flight", func() float64 { return float64(p.gate.InFlight()) })
	p.meter.Gauge("ebony_owned_objects", func() float64 { return float64(p.agent.OwnedCount()) })
	p.meter.Gauge("ebony_revision", func() float64 { return float64(p.settings.Current().Revision()) })
	p.meter.Gauge("ebony_slots_in_use", func() float64 {
		sum := 0
		for _, n := range p.limiter.InUse() {
			sum += n
		}
		return float64(sum)
	})
	p.meter.Gauge("ebony_queued", func() float64 {
		sum := 0
		for _, load := range p.limiter.Load() {
			sum += load.Queued
		}
		return float64(sum)
	})
}
