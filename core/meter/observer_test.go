package meter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/meter"
)

// Guards against requests that are counted with the labels of another result.
func TestObserverCountsByResult(t *testing.T) {
	m := meter.New()
	o := meter.NewObserver(m)
	for range 2 {
		o.ObserveRequest(core.RequestReport{Code: codes.OK, Ran: core.RanYes, Service: "s"})
	}
	o.ObserveRequest(core.RequestReport{Code: codes.OK, Ran: core.RanYes, Relayed: true, Service: "s"})
	o.ObserveRequest(core.RequestReport{Code: codes.QueueFull, Ran: core.RanNo, Service: "s"})
	page := httptest.NewRecorder()
	m.Handler().ServeHTTP(page, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	for _, line := range []string{
		`ebony_requests_total{code="1000",ran="yes",relayed="false"} 2`,
		`ebony_requests_total{code="1000",ran="yes",relayed="true"} 1`,
		`ebony_requests_total{code="3002",ran="no",relayed="false"} 1`,
	} {
		assert.Assert(t, strings.Contains(page.Body.String(), line), line)
	}
}

// BenchmarkObserve measures the cost of recording one finished request.
func BenchmarkObserve(b *testing.B) {
	o := meter.NewObserver(meter.New())
	report := core.RequestReport{Class: "interactive", Code: codes.OK, Latency: time.Millisecond, Ran: core.RanYes, Service: "s"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			o.ObserveRequest(report)
		}
	})
}

// TestRefusals guards against a counter for each of any number of priorities.
func TestRefusals(t *testing.T) {
	m := meter.New()
	o := meter.NewObserver(m)
	for priority := range int64(100) {
		o.ObserveRefusal(priority-1, core.RefusedRank)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body := recorder.Body.String()
	assert.Assert(t, strings.Contains(body, `ebony_place_refused_total{rank="0",reason="rank"} 2`), body)
	assert.Assert(t, strings.Contains(body, `ebony_place_refused_total{rank="other",reason="rank"} 91`), body)
	assert.Equal(t, strings.Count(body, "ebony_place_refused_total"), 9)
}
