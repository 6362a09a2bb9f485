package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a target does with one request that it runs.
type answer struct {
	// work is how long the target works on the request.
	work time.Duration
	size int
	// breakAfter is the number of bytes of the body after which the target breaks its answer off; 0 means that it does not.
	breakAfter int
}

// run is one request that a target began to work on.
type run struct {
	id      string
	body    int64
	begun   time.Time
	ended   time.Time
	outcome string
}

// target is a stand-in of a registered target. It follows the pages: it checks the instance that is expected, echoes the
// request id, stamps its answers and drops a request whose connection closes.
type target struct {
	address string
	id      string
	service string
	slots   int
	zone    string
	respond func(r *http.Request) answer
	record  *record
	server  *http.Server

	mutex   sync.Mutex
	running int
	runs    []*run
	sequel  int64
	born    int64
}

// queue is the number of requests that wait at a target.
const queue = 18

func startTarget(rec *record, id, service, address, zone string, slots int, respond func(*http.Request) answer) (*target, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &target{address: address, id: id, service: service, slots: slots, zone: zone, respond: respond, record: rec, born: time.Now().UnixMilli()}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(listener) }()
	return t, nil
}

// entry is the target's registration.
func (t *target) entry() map[string]any {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sequel++
	return map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": t.slots},
		"status": map[string]any{"state": "ready", "seq": t.sequel, "coldLeft": "0ms"},
	}
}

// heartbeat is the interval at which a target writes its entry.
const heartbeat = 1500 * time.Millisecond

// register registers the target now, and again with each heartbeat. A heartbeat that changes no more than the sequence number
// leaves the entry as it is.
func (t *target) register(s *store) {
	s.put("servers", t.id, t.entry())
	go func() {
		for {
			time.Sleep(heartbeat)
			entry := t.entry()
			if s.same("servers", t.id, entry) {
				continue
			}
			s.put("servers", t.id, entry)
			t.record.add("target %s writes its entry again", t.id)
		}
	}()
}

func (t *target) load() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d", min(t.running, t.slots), max(0, t.running-t.slots), t.slots)
}

func (t *target) snapshot() []run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []run
	for _, r := range t.runs {
		all = append(all, *r)
	}
	return all
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Ebonyrouter-Request-Id")
	header := w.Header()
	switch expected := r.Header.Get("Ebonyrouter-Expect-Instance"); {
	case r.URL.Path == "/health":
		header.Set("Ebonyrouter-Instance-Id", t.id)
		w.WriteHeader(http.StatusOK)
		return
	case expected != "" && expected != t.id:
		t.record.add("target %s (%s) answers 421 to %s, which expects %s", t.id, t.service, id, expected)
		header.Set("Ebonyrouter-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		header.Set("Ebonyrouter-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mutex.Lock()
	if t.running >= t.slots+queue {
		t.mutex.Unlock()
		header.Set("Ebonyrouter-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.running++
	t.mutex.Unlock()
	defer func() {
		t.mutex.Lock()
		t.running--
		t.mutex.Unlock()
	}()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		t.record.add("target %s (%s) does not run %s, whose body breaks off after %d bytes", t.id, t.service, id, size)
		return
	}
	one := &run{id: id, begun: time.Now(), body: size}
	t.mutex.Lock()
	t.runs = append(t.runs, one)
	t.mutex.Unlock()
	t.record.add("target %s (%s) runs %s: %s %s, body of %d bytes", t.id, t.service, id, r.Method, r.URL.RequestURI(), size)
	end := func(outcome string) {
		t.mutex.Lock()
		one.ended, one.outcome = time.Now(), outcome
		t.mutex.Unlock()
		t.record.add("target %s (%s) ends %s: %s", t.id, t.service, id, outcome)
	}
	a := t.respond(r)
	deadline, _ := strconv.Atoi(r.Header.Get("Ebonyrouter-Deadline-Ms"))
	limit := time.Duration(deadline) * time.Millisecond
	if deadline == 0 {
		limit = time.Minute
	}
	select {
	case <-time.After(min(a.work, limit)):
	case <-r.Context().Done():
		end("dropped, its connection closed")
		return
	}
	header.Set("Ebonyrouter-Request-Id", id)
	header.Set("Ebonyrouter-Response-Stamp", "stamp."+t.id+"."+id)
	header.Set("Ebonyrouter-Server-Load", t.load())
	if a.work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
		end("504, its time was over")
		return
	}
	body := bodyOf(id, a.size)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	if a.breakAfter > 0 {
		_, _ = w.Write(body[:a.breakAfter])
		_ = http.NewResponseController(w).Flush()
		end(fmt.Sprintf("breaks off after %d of %d bytes", a.breakAfter, a.size))
		panic(http.ErrAbortHandler)
	}
	_, err = w.Write(body)
	if err != nil {
		end("answer could not be written: " + err.Error())
		return
	}
	end("200")
}

// bodyOf returns the answer's body for a request.
func bodyOf(id string, size int) []byte {
	line := []byte(id + "\n")
	return bytes.Repeat(line, size/len(line)+1)[:size]
}
