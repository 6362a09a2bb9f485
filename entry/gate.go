package main

import (
	"net/http"
	"sync/atomic"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/admin"
	"ebonyrouter.dev/core/codes"
)

// gate is the outermost HTTP handler for callers. It counts in-flight requests. While the process drains, it closes
// connections after each response, and it rejects new requests once the lookup results that contain this host have expired.
type gate struct {
	draining  atomic.Bool
	inFlight  atomic.Int64
	next      http.Handler
	rejecting atomic.Bool
}

// InFlight returns the number of in-flight requests.
func (g *gate) InFlight() int {
	return int(g.inFlight.Load())
}

// ServeHTTP implements http.Handler.ServeHTTP.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if g.rejecting.Load() {
		w.Header().Set(core.HeaderCode, codes.Draining.String())
		w.Header().Set(core.HeaderRan, string(core.RanNo))
		admin.WriteProblem(w, http.StatusServiceUnavailable, codes.Draining, "this entry host is stopping; look up another one")
		return
	}
	g.next.ServeHTTP(w, r)
}
