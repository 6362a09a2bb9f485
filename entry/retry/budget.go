package retry

import (
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// slotTime is the time that one counter of the window covers.
	slotTime = time.Second
	// slotCount is the number of counters in the window, so that recent means the last ten seconds.
	slotCount = 10
	// minExtra permits this many retries, and as many hedges, per window to services with few requests.
	minExtra    = 3
	fullPercent = 100
)

var _ core.RetryBudget = (*Budget)(nil)

// Budget counts first attempts, retries and hedges of each service over the last ten seconds.
type Budget struct {
	// services holds a *window for each service.
	services sync.Map
	settings core.SettingsSource
	timer    core.Timer
	zone     string
}

// New returns a Budget that takes its shares from the policy of the own zone.
func New(settings core.SettingsSource, timer core.Timer, zone string) *Budget {
	return &Budget{settings: settings, timer: timer, zone: zone}
}

// AllowHedge implements core.RetryBudget.AllowHedge.
func (b *Budget) AllowHedge(service string) bool {
	return b.allow(service, countHedges, b.policy(service).HedgePercent)
}

// AllowRetry implements core.RetryBudget.AllowRetry.
func (b *Budget) AllowRetry(service string) bool {
	return b.allow(service, countRetries, b.policy(service).RetryPercent)
}

// RecordAttempt implements core.RetryBudget.RecordAttempt.
func (b *Budget) RecordAttempt(service string) {
	b.window(service).attempt(b.slot())
}

// allow takes one extra attempt of a kind if its share permits it.
func (b *Budget) allow(service string, k kind, percent int64) bool {
	if percent <= 0 {
		return false
	}
	return b.window(service).take(b.slot(), k, percent)
}

// policy returns the policy of a service, which permits nothing before settings are in force.
func (b *Budget) policy(service string) core.EffectivePolicy {
	s := b.settings.Current()
	if s == nil {
		return core.EffectivePolicy{}
	}
	return s.Policies[service][b.zone]
}

// slot returns the current slot of time.
func (b *Budget) slot() int64 {
	return int64(b.timer.Now()) / int64(slotTime)
}

// window returns the counters of a service.
func (b *Budget) window(service string) *window {
	w, ok := b.services.Load(service)
	if !ok {
		w, _ = b.services.LoadOrStore(service, &window{})
	}
	return w.(*window)
}
