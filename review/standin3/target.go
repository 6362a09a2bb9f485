package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// targetIdle is the idle time-out that targets state.
const targetIdle = 10 * time.Second

// target is a stand-in of a registered target that behaves well.
type target struct {
	address  string
	id       string
	service  string
	slots    int
	zone     string
	bodySize int
	work     time.Duration

	born    int64
	busy    chan struct{}
	log     *record
	mutex   sync.Mutex
	waiting int
	runs    map[string]*targetRun
	server  *http.Server
}

// targetRun is what a target saw of a request.
type targetRun struct {
	host, method, uri string
	header            http.Header
	count             int
	began, ended      time.Time
}

func (t *target) start(log *record, s *store) error {
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.log, t.born, t.busy, t.runs = log, time.Now().UnixMilli(), make(chan struct{}, t.slots), map[string]*targetRun{}
	t.server = &http.Server{Handler: t, IdleTimeout: targetIdle}
	go func() { _ = t.server.Serve(listener) }()
	return s.set("servers", t.id, t.entry(1))
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, header := r.Header.Get("Ebonyrouter-Request-Id"), w.Header()
	header.Set("Ebonyrouter-Request-Id", id)
	header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(targetIdle.Seconds())))
	header.Set("Ebonyrouter-Instance-Id", t.id)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("Ebonyrouter-Expect-Instance"); expected != "" && expected != t.id {
		t.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		t.refuse(w, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	limit, err := strconv.Atoi(r.Header.Get("Ebonyrouter-Deadline-Ms"))
	if err != nil {
		limit = int(time.Minute.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(limit)*time.Millisecond)
	defer cancel()
	select {
	case t.busy <- struct{}{}:
	case <-ctx.Done():
		t.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.busy }()
	t.begin(id, r, len(body))
	defer t.end(id)
	select {
	case <-time.After(t.work):
	case <-ctx.Done():
		if r.Context().Err() == nil {
			header.Set("Ebonyrouter-Response-Stamp", t.stamp(id))
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	answer := []byte(strings.Repeat(t.stamp(id)+"\n", 1+t.bodySize/(len(t.stamp(id))+1)))
	header.Set("Ebonyrouter-Response-Stamp", t.stamp(id))
	header.Set("Ebonyrouter-Server-Load", t.load())
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

func (t *target) stamp(id string) string { return t.id + "." + id }

func (t *target) load() string { return fmt.Sprintf("%d,0,%d", len(t.busy)-1, t.slots) }

func (t *target) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Ebonyrouter-Not-Run", "1")
	w.WriteHeader(status)
}

func (t *target) begin(id string, r *http.Request, body int) {
	t.log.printf("target %s (%s): runs %s: %s %q, host %q, body of %d bytes", t.id, t.service, id, r.Method, r.RequestURI, r.Host, body)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	run := t.runs[id]
	if run == nil {
		run = &targetRun{host: r.Host, method: r.Method, uri: r.RequestURI, header: r.Header.Clone()}
		t.runs[id] = run
	}
	run.count++
	run.began = time.Now()
}

func (t *target) end(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs[id].ended = time.Now()
}

// run returns what the target saw of a request, or nil.
func (t *target) run(id string) *targetRun {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if run := t.runs[id]; run != nil {
		c := *run
		return &c
	}
	return nil
}
