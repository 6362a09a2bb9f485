package drive

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// serveHealthy responds like a healthy upstream.
func serveHealthy(w http.ResponseWriter, r *http.Request) {
	body := r.Header.Get("X-Token") + "\n"
	w.Header().Set("X-Checksum", fmt.Sprintf("%x", crc32.ChecksumIEEE([]byte(body))))
	w.Header().Set("X-Token", r.Header.Get("X-Token"))
	_, _ = io.WriteString(w, body)
}

// TestRunVerifiesResponses guards against wrong, truncated, rejected or late responses that pass as good ones.
func TestRunVerifiesResponses(t *testing.T) {
	for name, test := range map[string]struct {
		fails  string
		handle http.HandlerFunc
	}{
		"good": {handle: serveHealthy},
		"wrong token": {"were not those", func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set("X-Token", "other")
			serveHealthy(w, r)
		}},
		"wrong body": {"were not those", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Token", r.Header.Get("X-Token"))
			_, _ = io.WriteString(w, "?")
		}},
		"truncated": {"errors", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		}},
		"rejected": {"0 successes", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Ebony-Ran", "no"); w.WriteHeader(503) }},
		"may have run": {"errors", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Ebony-Ran", "unknown")
			w.WriteHeader(504)
		}},
		"late responses": {"goodput", func(w http.ResponseWriter, r *http.Request) { time.Sleep(40 * time.Millisecond); serveHealthy(w, r) }},
	} {
		t.Run(name, func(t *testing.T) {
			upstream := httptest.NewServer(test.handle)
			defer upstream.Close()
			config := Config{
				Concurrency: 2, Deadline: 20 * time.Millisecond, Duration: 200 * time.Millisecond, Method: "GET", Path: "/",
				Rate: 200, Targets: []string{upstream.Listener.Addr().String()},
			}
			reports, err := RunExperiment(t.Context(), config, []string{ModeDirect, ModeRoundRobin}, 2)
			assert.NilError(t, err)
			bounds := Bounds{MinGoodput: 1, MinSuccess: 1}
			err = bounds.Check(reports, Compare(reports))
			if test.fails == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.fails)
		})
	}
}

// TestSystemFailover guards against a caller that does not fail over from an unreachable host, and against one that retries a
// request that may have run and is neither idempotent nor keyed.
func TestSystemFailover(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, dead.Close())
	mux := http.NewServeMux()
	entry := httptest.NewServer(mux)
	defer entry.Close()
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	for name, test := range map[string]struct {
		first, method string
		fails         bool
	}{
		"refused":                {first: dead.Addr().String(), method: "POST"},
		"broken get":             {first: broken.Listener.Addr().String(), method: "GET"},
		"broken post":            {first: broken.Listener.Addr().String(), method: "POST", fails: true},
		"not a loopback address": {first: "192.0.2.1:80", method: "GET", fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			service := strings.ReplaceAll(name, " ", "-")
			mux.HandleFunc("/"+service, serveHealthy)
			mux.HandleFunc("GET /v1/lookup", func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"hosts":[{"address":%q},{"address":%q}],"valid_ms":1000}`, test.first, entry.Listener.Addr())
			})
			defer func() { mux = http.NewServeMux(); entry.Config.Handler = mux }()
			config := Config{
				Concurrency: 1, Deadline: time.Second, Duration: 50 * time.Millisecond, Entries: []string{entry.Listener.Addr().String()},
				Method: test.method, Path: "/" + service, Service: service,
			}
			reports, err := RunExperiment(t.Context(), config, []string{ModeSystem}, 1)
			assert.NilError(t, err)
			err = Bounds{MinSuccess: 1}.Check(reports, nil)
			assert.Equal(t, err != nil, test.fails, "%v %v", err, reports[0].Results)
		})
	}
}

// TestNoTransportRetries guards against errors that the HTTP transport hides: when a reused connection breaks, it retries an
// idempotent request by itself on a new connection if it can send the body again.
func TestNoTransportRetries(t *testing.T) {
	var requests atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		serveHealthy(w, r)
	}))
	defer upstream.Close()
	config := Config{
		Concurrency: 1, Deadline: time.Second, Duration: 100 * time.Millisecond, Method: "GET", Path: "/",
		Targets: []string{upstream.Listener.Addr().String()},
	}
	reports, err := RunExperiment(t.Context(), config, []string{ModeDirect}, 1)
	assert.NilError(t, err)
	assert.Equal(t, reports[0].Requests, requests.Load())
}

// TestDeadlineCountsFromDueTime guards against a request that starts late and still carries its full deadline.
func TestDeadlineCountsFromDueTime(t *testing.T) {
	s := &sender{config: Config{Deadline: time.Second, Method: "GET", Path: "/"}}
	for name, test := range map[string]struct {
		delay    time.Duration
		min, max int
	}{
		"in time":       {0, 900, 1000},
		"late":          {600 * time.Millisecond, 300, 400},
		"past deadline": {2 * time.Second, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			request, err := s.request(t.Context(), "127.0.0.1:1", "token", time.Now().Add(-test.delay))
			assert.NilError(t, err)
			ms, err := strconv.Atoi(request.Header.Get(core.HeaderDeadline))
			assert.NilError(t, err)
			assert.Assert(t, ms >= test.min && ms <= test.max, "%d ms", ms)
		})
	}
}

// TestEvidence guards against violated limits that the check accepts, including a key that ran once on each of two processes.
func TestEvidence(t *testing.T) {
	for name, test := range map[string]struct{ first, second, fails, notRun string }{
		"within limits": {first: `{"requests":2,"runs":{"k":1},"connection_limit":3,"high_connections":3}`, second: `{"runs":{"l":1}}`},
		"over slots":    {first: `{"over_slots":1}`, second: `{}`, fails: "over the slots"},
		"two processes": {first: `{"runs":{"k":1}}`, second: `{"runs":{"k":1}}`, fails: "ran more than once"},
		"denied":        {first: `{"runs":{"k":1}}`, second: `{}`, notRun: "k", fails: "told that they were not run"},
		"connections":   {first: `{"connection_limit":3,"high_connections":4}`, second: `{}`, fails: "connection limit"},
		"after a drain": {first: `{"after_drain":1}`, second: `{}`, fails: "after a drain"},
	} {
		t.Run(name, func(t *testing.T) {
			var controls []string
			for _, text := range []string{test.first, test.second} {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "["+text+"]") }))
				defer server.Close()
				controls = append(controls, server.Listener.Addr().String())
			}
			summary, err := ReadEvidence(t.Context(), controls, []string{test.notRun})
			assert.NilError(t, err)
			err = summary.Check(true)
			if test.fails == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.fails)
		})
	}
}
