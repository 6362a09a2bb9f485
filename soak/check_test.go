package main

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/soak/stand"
)

// TestCheckRequest guards against a check that accepts a broken promise, or that reports a fault that the disturbances excuse.
func TestCheckRequest(t *testing.T) {
	safe, unsafe := &class{name: "s", deadline: 12 * time.Second}, &class{name: "u", unsafe: true, deadline: 6 * time.Second}
	now := time.Now()
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	ran := stand.Run{Arrivals: 1, Runs: 1, Target: "t", Began: ago(0.5), Ended: now}
	cases := map[string]struct {
		request request
		host    *host
		run     stand.Run
		crashed time.Time
		broken  bool
	}{
		"answered":                          {request{class: unsafe, result: resultAnswered, status: 200}, &host{}, ran, time.Time{}, false},
		"ran twice":                         {request{class: unsafe, result: resultAnswered, status: 200}, &host{}, stand.Run{Runs: 2}, time.Time{}, true},
		"safe ran twice":                    {request{class: safe, result: resultAnswered, status: 200}, &host{}, stand.Run{Runs: 2}, time.Time{}, false},
		"refused and ran":                   {request{class: unsafe, result: resultAnswered, status: 503}, &host{}, ran, time.Time{}, true},
		"failed and ran":                    {request{class: unsafe, result: resultAnswered, status: 502}, &host{}, ran, time.Time{}, false},
		"other response":                    {request{class: safe, result: resultForeign, cause: "x"}, &host{}, ran, time.Time{}, true},
		"cut":                               {request{class: safe, result: resultCut, sent: ago(1), ended: now}, &host{}, ran, time.Time{}, true},
		"cut by a kill":                     {request{class: safe, result: resultCut, sent: ago(1), ended: now}, &host{disturbed: []time.Time{ago(0.1)}}, ran, time.Time{}, false},
		"cut long after a kill":             {request{class: safe, result: resultCut, sent: ago(1), ended: now}, &host{disturbed: []time.Time{ago(6)}}, ran, time.Time{}, true},
		"cut by a crash of the target":      {request{class: safe, result: resultCut, sent: ago(1), ended: now}, &host{}, ran, ago(0.2), false},
		"cut early in a stop":               {request{class: safe, result: resultCut, sent: ago(2), ended: now}, &host{terms: []time.Time{ago(3)}}, ran, time.Time{}, true},
		"cut at the end of the grace":       {request{class: safe, result: resultCut, sent: ago(4), ended: now}, &host{terms: []time.Time{ago(5.8)}}, stand.Run{Arrivals: 1, Began: ago(3)}, time.Time{}, false},
		"sent late, cut at the end":         {request{class: safe, result: resultCut, sent: ago(2), ended: now}, &host{terms: []time.Time{ago(5.8)}}, stand.Run{Arrivals: 1, Began: ago(1)}, time.Time{}, true},
		"queued, cut at the end":            {request{class: safe, result: resultCut, sent: ago(4), ended: now}, &host{terms: []time.Time{ago(5.8)}}, stand.Run{Arrivals: 1}, time.Time{}, true},
		"not passed on, closed at once":     {request{class: safe, result: resultCut, sent: ago(0.1), ended: now}, &host{}, stand.Run{}, time.Time{}, false},
		"not passed on, closed later":       {request{class: safe, result: resultCut, sent: ago(0.3), ended: now}, &host{}, stand.Run{}, time.Time{}, true},
		"behind another, not passed on":     {request{class: safe, result: resultCut, behind: 1, sent: ago(0.3), ended: now}, &host{}, stand.Run{}, time.Time{}, false},
		"behind another, passed on and cut": {request{class: safe, result: resultCut, behind: 1, sent: ago(0.3), ended: now}, &host{}, ran, time.Time{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.request.host = c.host
			got := checkRequest(&c.request, c.run, c.crashed)
			assert.Equal(t, got != "", c.broken, got)
		})
	}
}

// TestPlanIsRepeatable guards against a seed that plays another plan the second time.
func TestPlanIsRepeatable(t *testing.T) {
	first := newPlan(7, time.Minute)
	assert.Assert(t, len(first) > 0)
	assert.DeepEqual(t, first, newPlan(7, time.Minute), cmp.AllowUnexported(disturbance{}))
	assert.Assert(t, first[0] != newPlan(8, time.Minute)[0])
}
