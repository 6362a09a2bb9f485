package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePageItems bounds a page of a list, and storeWaitMs the wait of a watch.
const (
	storePageItems = 500
	storeWaitMs    = 30_000
)

// store is a stand-in of the platform's object store: one revision counter, conditions by revision, lists, watches and their events.
type store struct {
	// onWrite, if set, decides about each write call of the system: it returns for how long the store waits before it does what was
	// asked, without an answer then, or 0 to do it at once and answer.
	onWrite func(method, kind, name string) time.Duration

	changed  chan struct{}
	events   []storeEvent
	log      *record
	mutex    sync.Mutex
	objects  map[string]map[string]*storeObject
	revision int64
	writes   int
	lost     int
}

type storeObject struct {
	Metadata storeMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeMetadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	Deleted bool         `json:"deleted"`
	Object  *storeObject `json:"object"`
	kind    string
}

func newStore(log *record) *store {
	return &store{changed: make(chan struct{}), log: log, objects: map[string]map[string]*storeObject{}, revision: 1}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/api/objects/")
	kind, name, _ := strings.Cut(path, "/")
	if !found || kind == "" {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	var o storeObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = o.Metadata.Name
	}
	condition := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mutex.Lock()
	s.writes++
	wait := time.Duration(0)
	if s.onWrite != nil {
		wait = s.onWrite(r.Method, kind, name)
	}
	if wait > 0 {
		s.lost++
	}
	s.mutex.Unlock()
	if wait > 0 {
		s.log.printf("store: %s %s/%s gets no answer, done in %v", r.Method, kind, name, wait)
		time.AfterFunc(wait, func() {
			status, _ := s.write(r.Method, kind, name, condition, o.Spec)
			s.log.printf("store: late %s %s/%s done, status %d", r.Method, kind, name, status)
		})
		// Nothing more is sent on a connection on which an answer was lost.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, result := s.write(r.Method, kind, name, condition, o.Spec)
	s.log.printf("store: %s %s/%s, status %d", r.Method, kind, name, status)
	writeJSON(w, status, result)
}

// write does one write call and returns its status and the object that its answer holds.
func (s *store) write(method, kind, name string, condition int64, spec json.RawMessage) (int, *storeObject) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.objects[kind][name]
	switch {
	case method == http.MethodPost && old != nil:
		return http.StatusConflict, old
	case method != http.MethodPost && old == nil:
		return http.StatusNotFound, nil
	case method != http.MethodPost && condition != 0 && condition != old.Metadata.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	s.put(kind, name, spec)
	return http.StatusOK, s.objects[kind][name]
}

func (s *store) put(kind, name string, spec json.RawMessage) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storeObject{}
	}
	old := s.objects[kind][name]
	if old != nil && string(old.Spec) == string(spec) {
		return
	}
	s.revision++
	o := &storeObject{Metadata: storeMetadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if old != nil {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	s.objects[kind][name] = o
	s.record(storeEvent{Object: o, kind: kind})
}

func (s *store) remove(kind, name string) {
	s.revision++
	removed := *s.objects[kind][name]
	removed.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(storeEvent{Deleted: true, Object: &removed, kind: kind})
}

func (s *store) record(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an object for the operator or a target.
func (s *store) set(kind, name string, spec any) error {
	content, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(kind, name, content)
	return nil
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sorted(kind)
}

func (s *store) sorted(kind string) []string {
	names := []string{}
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			writeJSON(w, http.StatusOK, o)
			return
		}
		writeJSON(w, http.StatusNotFound, nil)
		return
	}
	items, more := []*storeObject{}, false
	for _, n := range s.sorted(kind) {
		if n <= query.Get("after") {
			continue
		}
		if len(items) == storePageItems {
			more = true
			break
		}
		items = append(items, s.objects[kind][n])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil || waitMs < 0 || waitMs > storeWaitMs {
		http.Error(w, "invalid watch", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for done := false; ; {
		s.mutex.Lock()
		changed, asOf := s.changed, s.revision
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 || done {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
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

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
