package meter

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Other is the label value that replaces all values beyond the limits.
const Other = "other"

const (
	defaultMaxServices = 64
	defaultMaxTenants  = 100
	// maxLabelBytes prevents long label values from filling the memory of the scraper.
	maxLabelBytes = 64
)

// Meter holds the metrics of one process.
type Meter struct {
	classes    map[string]bool
	histograms map[histogramKey]*metrics.Histogram
	mu         sync.RWMutex
	services   *bounded
	set        *metrics.Set
	tenants    *bounded
}

// New returns an empty meter.
func New(options ...Option) *Meter {
	m := &Meter{
		classes:    map[string]bool{"interactive": true, "batch": true},
		histograms: map[histogramKey]*metrics.Histogram{},
		services:   newBounded(defaultMaxServices),
		set:        metrics.NewSet(),
		tenants:    newBounded(defaultMaxTenants),
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Counter returns the counter with this name, which may include constant labels in Prometheus notation.
func (m *Meter) Counter(name string) *metrics.Counter {
	return m.set.GetOrCreateCounter(name)
}

// Gauge defines a gauge with this name; value is called at each scrape.
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

// CountCustomer increments the counter of a customer with this name. Customers beyond the limit of tenants share one counter.
func (m *Meter) CountCustomer(name, customer string) {
	m.Counter(fmt.Sprintf("%s{customer=%q}", name, m.tenants.value(clean(customer)))).Inc()
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
	key := histogramKey{name: name, first: first, last: last}
	m.mu.RLock()
	h := m.histograms[key]
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	h = m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{%s="%s",%s="%s"}`, name, firstLabel, clean(first), lastLabel, clean(last)))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.histograms[key] = h
	return h
}

// clean truncates a label value to maxLabelBytes and replaces all characters that might need escaping by underscores.
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
