package meter

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Other is the label value that stands for all values beyond the bounds.
const Other = "other"

const (
	defaultMaxServices = 64
	defaultMaxTenants  = 100
	// Longer label values could be used to fill the memory of the scraper.
	maxLabelBytes = 64
)

// Meter holds the metrics of one process.
type Meter struct {
	classes    map[string]bool
	histograms map[labels]*metrics.Histogram
	mu         sync.RWMutex
	services   *bounded
	set        *metrics.Set
	tenants    *bounded
}

// New returns an empty meter.
func New(options ...Option) *Meter {
	m := &Meter{
		classes:    map[string]bool{"interactive": true, "batch": true},
		histograms: map[labels]*metrics.Histogram{},
		services:   newBounded(defaultMaxServices),
		set:        metrics.NewSet(),
		tenants:    newBounded(defaultMaxTenants),
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Counter returns the counter of name, which may contain constant labels in the Prometheus notation.
func (m *Meter) Counter(name string) *metrics.Counter {
	return m.set.GetOrCreateCounter(name)
}

// Gauge defines a gauge of name that is read by calling value at each scrape.
func (m *Meter) Gauge(name string, value func() float64) {
	m.set.GetOrCreateGauge(name, value)
}

// Handler returns the handler of GET /metrics.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

// RecordLatency adds one request of service and class to the histogram of latencies in seconds.
func (m *Meter) RecordLatency(service, class string, d time.Duration) {
	if !m.classes[class] {
		class = Other
	}
	m.histogram("ebony_request_seconds", "service", m.services.value(service), "class", class).Update(d.Seconds())
}

// RecordTenant adds one request of a tenant of service to the histogram of latencies in seconds.
func (m *Meter) RecordTenant(service, tenant string, d time.Duration) {
	m.histogram("ebony_tenant_seconds", "service", m.services.value(service), "tenant", m.tenants.value(tenant)).Update(d.Seconds())
}

func (m *Meter) histogram(name, firstLabel, first, lastLabel, last string) *metrics.Histogram {
	k := labels{name: name, first: first, last: last}
	m.mu.RLock()
	h := m.histograms[k]
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	h = m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{%s="%s",%s="%s"}`, name, firstLabel, clean(first), lastLabel, clean(last)))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.histograms[k] = h
	return h
}

// clean replaces every byte that the text format would need to escape.
func clean(text string) string {
	text = text[:min(len(text), maxLabelBytes)]
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', strings.ContainsRune("-_.:/", r):
			return r
		default:
			return '_'
		}
	}, text)
}
