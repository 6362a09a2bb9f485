package stand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// queuePerSlot is the number of requests that wait at a target for each of its slots.
	queuePerSlot = 3
	// targetIdleTimeout is announced in the Keep-Alive header.
	targetIdleTimeout = 10 * time.Second
	bodyBytes         = 1500
	readHeaderTimeout = 5 * time.Second
	// minLeaveDelay is the time for which a target serves after the store has accepted that it is leaving.
	minLeaveDelay = 2500 * time.Millisecond
)

// Target is a stand-in of a registered target.
type Target struct {
	Address string
	ID      string
	Service string
	Slots   int
	Zone    string
	// BodyBytes is the size of a response body; 0 stands for the body that Body returns.
	BodyBytes int
	// Work is the duration of a request.
	Work func() time.Duration

	born     int64
	draining atomic.Bool
	record   *Record
	server   *http.Server
	slots    chan struct{}
	store    *Store
	mutex    sync.Mutex
	arrived  int
}

// Start listens on the target's address and registers the target in the store.
func (t *Target) Start(record *Record, store *Store) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", t.Address)
	if err != nil {
		return errors.Trace(err)
	}
	t.born, t.record, t.store, t.slots = time.Now().UnixMilli(), record, store, make(chan struct{}, t.Slots)
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), IdleTimeout: targetIdleTimeout, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = t.server.Serve(listener) }()
	return errors.Trace(t.register("ready"))
}

// Crash closes the target's listener and connections without a notice. Its registration stays.
func (t *Target) Crash() {
	t.record.crashed(t.ID)
	_ = t.server.Close()
}

// Leave reports that the target is draining, serves for the time that the platform states, and ends.
func (t *Target) Leave(ctx context.Context) {
	t.draining.Store(true)
	_ = t.register("draining")
	select {
	case <-ctx.Done():
		return
	case <-time.After(2 * minLeaveDelay):
	}
	t.store.Remove("servers", t.ID)
	t.Crash()
}

func (t *Target) register(state string) error {
	return t.store.Put("servers", t.ID, map[string]any{
		"address": t.Address, "born": t.born,
		"info":   map[string]any{"service": t.Service, "version": "v1", "zone": t.Zone, "slots": t.Slots},
		"status": map[string]any{"state": state, "seq": time.Now().UnixMilli() - t.born, "coldLeft": "0ms"},
	})
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id, header := r.Header.Get("Ebonyrouter-Request-Id"), w.Header()
	header.Set("Ebonyrouter-Request-Id", id)
	header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(targetIdleTimeout.Seconds())))
	if t.draining.Load() {
		header.Set("Connection", "close")
	}
	switch expected := r.Header.Get("Ebonyrouter-Expect-Instance"); {
	case r.URL.Path == "/health":
		header.Set("Ebonyrouter-Instance-Id", t.ID)
		return
	case expected != "" && expected != t.ID:
		t.refuse(w, http.StatusMisdirectedRequest)
		return
	case id == "":
		t.refuse(w, http.StatusBadRequest)
		return
	}
	t.record.arrived(id, t.ID)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	deadline, err := strconv.Atoi(r.Header.Get("Ebonyrouter-Deadline-Ms"))
	if err != nil {
		deadline = int(time.Minute.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	if !t.acquire(ctx) {
		t.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	t.record.began(id, t.ID)
	defer t.record.ended(id)
	select {
	case <-time.After(t.Work()):
	case <-ctx.Done():
		if r.Context().Err() == nil {
			header.Set("Ebonyrouter-Response-Stamp", stamp(t.ID, id))
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	header.Set("Ebonyrouter-Response-Stamp", stamp(t.ID, id))
	header.Set("Ebonyrouter-Server-Load", t.load())
	body := Body(id)
	if t.BodyBytes > 0 {
		body = make([]byte, t.BodyBytes)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// acquire takes a slot. It returns false if the queue is full or ctx ends in it.
func (t *Target) acquire(ctx context.Context) bool {
	t.mutex.Lock()
	full := t.arrived >= t.Slots*(1+queuePerSlot)
	if !full {
		t.arrived++
	}
	t.mutex.Unlock()
	if full {
		return false
	}
	defer func() {
		t.mutex.Lock()
		t.arrived--
		t.mutex.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Ebonyrouter-Not-Run", "1")
	w.WriteHeader(status)
}

func (t *Target) load() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(t.slots), t.arrived, t.Slots)
}

func stamp(target, id string) string { return target + "." + id }

// Body returns the body of the response to a request.
func Body(id string) []byte {
	line := []byte(id + "\n")
	return bytes.Repeat(line, bodyBytes/len(line))
}
