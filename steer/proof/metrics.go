package proof

import (
	"sync/atomic"

	"ebonyrouter.dev/core/meter"
)

// counters counts what a Checker has done since its start.
type counters struct {
	answered        atomic.Int64
	askFailed       atomic.Int64
	asked           atomic.Int64
	read            atomic.Int64
	readFailed      atomic.Int64
	refusedAge      atomic.Int64
	refusedRevision atomic.Int64
}

// noAge is the value of the metric of the age while there is no proof.
const noAge = -1

// Export registers the age of the proof in seconds, -1 without one, and the counters as metrics.
func (c *Checker) Export(to *meter.Meter) {
	to.Gauge("ebony_settings_proof_age_seconds", func() float64 {
		age, proven := c.state.Load().age(c.config.Timer.Now())
		if !proven {
			return noAge
		}
		return age.Seconds()
	})
	to.Gauge("ebony_settings_proof_revision", func() float64 { return float64(c.state.Load().revision) })
	for name, counter := range map[string]*atomic.Int64{
		`ebony_settings_proof_reads_total{kind="store"}`:             &c.counters.read,
		`ebony_settings_proof_reads_total{kind="reader"}`:            &c.counters.asked,
		`ebony_settings_proof_failures_total{kind="store"}`:          &c.counters.readFailed,
		`ebony_settings_proof_failures_total{kind="reader"}`:         &c.counters.askFailed,
		`ebony_settings_proof_answers_total`:                         &c.counters.answered,
		`ebony_settings_proof_refusals_total{reason="no_proof"}`:     &c.counters.refusedAge,
		`ebony_settings_proof_refusals_total{reason="old_settings"}`: &c.counters.refusedRevision,
	} {
		to.Gauge(name, func() float64 { return float64(counter.Load()) })
	}
}
