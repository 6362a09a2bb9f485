package retry

import (
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// bucketDuration is the time that one bucket of the window covers.
	bucketDuration = time.Second
	// bucketCount is the number of buckets in the window, which together cover the last 10 s.
	bucketCount = 10
	// minAllowed is the number of retries, and also of hedges, that each window permits for services with few requests.
	minAllowed  = 3
	fullPercent = 100
)

var _ core.RetryBudget = (*Budget)(nil)

// Budget limits retries and hedges of each service to a share of its first attempts over the last 10 s.
type Budget struct {
	// services maps the name of each service to its *window.
	services sync.Map
	settings core.SettingsSource
	timer    core.Timer
	zone     string
}

// New returns a Budget that takes the permitted shares from the policy of zone.
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
	b.window(service).recordAttempt(b.currentBucket())
}

// allow counts one retry or hedge and returns true if the permitted share is not used up.
func (b *Budget) allow(service string, k kind, percent int64) bool {
	if percent <= 0 {
		return false
	}
	return b.window(service).tryRecord(b.currentBucket(), k, percent)
}

// policy returns the policy of a service, which permits nothing before settings are applied.
func (b *Budget) policy(service string) core.EffectivePolicy {
	s := b.settings.Current()
	if s == nil {
		return core.EffectivePolicy{}
	}
	return s.Policies[service][b.zone]
}

// currentBucket returns the number of the current bucket, counted from the zero instant.
func (b *Budget) currentBucket() int64 {
	return int64(b.timer.Now()) / int64(bucketDuration)
}

// window returns the counters of a service.
func (b *Budget) window(service string) *window {
	w, ok := b.services.Load(service)
	if !ok {
		w, _ = b.services.LoadOrStore(service, &window{})
	}
	return w.(*window)
}
