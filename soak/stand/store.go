package stand

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Limits of one response of the store.
const (
	pageBytes = 1 << 20
	pageItems = 50
	maxWaitMs = 30_000
)

// Store is a stand-in of the platform's object store.
type Store struct {
	changed  chan struct{}
	events   []storeEvent
	mutex    sync.Mutex
	objects  map[string]map[string]*storeObject
	revision int64
	// failing makes all calls of the system fail, as in an outage.
	failing bool
}

type storeObject struct {
	Metadata storeMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type storeMetadata struct {
	Name      string `json:"name"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev"`
}

type storeEvent struct {
	Deleted bool         `json:"deleted"`
	Object  *storeObject `json:"object"`
	kind    string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), objects: map[string]map[string]*storeObject{}, revision: 1}
}

// Handler returns the store's API.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.failOutage)
	r.Get("/api/objects/{kind}", s.handleRead)
	r.Post("/api/objects/{kind}", s.handleWrite)
	r.Put("/api/objects/{kind}/{name}", s.handleWrite)
	r.Delete("/api/objects/{kind}/{name}", s.handleDelete)
	return r
}

// Put creates or replaces an object. An unchanged spec leaves the object as it is.
func (s *Store) Put(kind, name string, spec any) error {
	content, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(kind, name, content)
	return nil
}

// Remove deletes an object and reports whether it existed.
func (s *Store) Remove(kind, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.objects[kind][name]
	if old == nil {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	removed := *old
	removed.Metadata.Revision = s.revision
	s.record(storeEvent{Deleted: true, Object: &removed, kind: kind})
	return true
}

// SetFailing begins or ends an outage, in which all calls are answered 503.
func (s *Store) SetFailing(failing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failing = failing
	s.wake()
}

func (s *Store) put(kind, name string, spec json.RawMessage) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storeObject{}
	}
	old := s.objects[kind][name]
	if old != nil && bytes.Equal(old.Spec, spec) {
		return
	}
	s.revision++
	o := &storeObject{Metadata: storeMetadata{Name: name, Revision: s.revision, CreateRev: s.revision}, Spec: spec}
	if old != nil {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	s.objects[kind][name] = o
	s.record(storeEvent{Object: o, kind: kind})
}

// record adds an event and wakes the watches; the caller holds the mutex.
func (s *Store) record(e storeEvent) {
	s.events = append(s.events, e)
	s.wake()
}

// wake makes all waiting watches check for events; the caller holds the mutex.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) failOutage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		failing := s.failing
		s.mutex.Unlock()
		if failing {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request) {
	var o storeObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case name == "" && s.objects[kind][o.Metadata.Name] != nil:
		http.Error(w, "the object exists", http.StatusConflict)
	case name != "" && s.objects[kind][name] == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	default:
		s.put(kind, o.Metadata.Name, o.Spec)
		writeJSON(w, s.objects[kind][o.Metadata.Name])
	}
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	if !s.Remove(chi.URLParam(r, "kind"), chi.URLParam(r, "name")) {
		http.Error(w, "no such object", http.StatusNotFound)
	}
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	objects := s.objects[chi.URLParam(r, "kind")]
	var names []string
	for name := range objects {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items, size := []*storeObject{}, 0
	for _, name := range names {
		if len(items) == pageItems || size > pageBytes {
			break
		}
		items = append(items, objects[name])
		size += len(objects[name].Spec)
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": len(items) < len(names), "asOf": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil || waitMs < 0 || waitMs > maxWaitMs {
		http.Error(w, "invalid watch", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for done := false; ; {
		s.mutex.Lock()
		changed, asOf, failing := s.changed, s.revision, s.failing
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == chi.URLParam(r, "kind") && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mutex.Unlock()
		switch {
		case failing:
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		case len(events) > 0 || done:
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
