package meter_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/meter"
)

// Guards against an unbounded number of label values, and against a counter that loses its constant labels.
func TestLabelsAreBounded(t *testing.T) {
	m := meter.New(meter.WithMaxTenants(2), meter.WithMaxServices(2))
	for i := range 20 {
		m.RecordLatency("bookings", "class"+strconv.Itoa(i), time.Millisecond)
		m.RecordTenant("service"+strconv.Itoa(i), "tenant"+strconv.Itoa(i), time.Millisecond)
	}
	m.RecordLatency("bookings", "batch", time.Millisecond)
	m.Counter(`ebony_late_total{topic="load"}`).Inc()
	text := scrape(m)
	assert.Assert(t, !strings.Contains(text, "class1"))
	assert.Equal(t, strings.Count(text, "ebony_request_seconds_count"), 2)
	assert.Equal(t, strings.Count(text, "ebony_tenant_seconds_count"), 3)
	assert.Assert(t, strings.Contains(text, `ebony_request_seconds_count{service="bookings",class="other"} 20`))
	assert.Assert(t, strings.Contains(text, `ebony_late_total{topic="load"} 1`))
}

// Guards against a tenant name with a quote or newline that breaks the text format.
func TestLabelsAreCleaned(t *testing.T) {
	m := meter.New()
	m.RecordTenant("bookings", "a\"} 1\nx{y=\"", time.Millisecond)
	assert.Assert(t, strings.Contains(scrape(m), `tenant="a___1_x_y__"`))
}

func scrape(m *meter.Meter) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}
