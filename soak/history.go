package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// history holds all requests of a run. It is safe for concurrent use.
type history struct {
	mutex    sync.Mutex
	requests []*request
}

// add records a request that has ended.
func (h *history) add(r *request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requests = append(h.requests, r)
}

// all returns the requests that have ended.
func (h *history) all() []*request {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.requests)
}

// printProgress prints the counts of results until ctx ends.
func (h *history) printProgress(ctx context.Context, out io.Writer) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressInterval):
			h.summarize(out)
		}
	}
}

// summarize prints the number of requests with each result.
func (h *history) summarize(out io.Writer) {
	counts := map[string]int{}
	for _, r := range h.all() {
		switch r.result {
		case resultAnswered:
			counts[fmt.Sprint("status ", r.status)]++
		case resultCut:
			counts["cut"]++
		case resultTimeout:
			counts["timeout"]++
		case resultForeign:
			counts["foreign"]++
		default:
			counts["not sent"]++
		}
	}
	_, _ = fmt.Fprintln(out, time.Now().Format(time.TimeOnly), counts)
}
