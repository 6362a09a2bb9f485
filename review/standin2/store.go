package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyLimit is the number of changes that the store keeps; a case makes far fewer.
const historyLimit = 100_000

// store is a stand-in of the platform's object store. It loses nothing that it has acknowledged, and its answers are linearizable.
type store struct {
	mutex    sync.Mutex
	changed  chan struct{}
	events   []change
	objects  map[string]map[string]*object
	revision int64
	// loseWatch is asked before the answer to a watch that has events is sent. If it returns true, the answer is lost, and the connection
	// returns nothing further.
	loseWatch func(caller, kind string, events []change) bool
	// cutAfter is the time after which a waiting watch of a kind is cut off; 0 means that none is.
	cutAfter func(caller, kind string) time.Duration
	stop     chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	Object  *object `json:"object"`
	Deleted bool    `json:"deleted"`
	kind    string
}

func newStore() *store {
	return &store{changed: make(chan struct{}), objects: map[string]map[string]*object{}, revision: 1, stop: make(chan struct{})}
}

// put creates or replaces an object as the operator or a server does. It returns the time of the confirmation.
func (s *store) put(kind, name string, spec any) time.Time {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.putLocked(kind, name, content)
	return time.Now()
}

func (s *store) remove(kind, name string) (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.objects[kind][name]
	if old == nil {
		return time.Now(), false
	}
	s.revision++
	gone := *old
	gone.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(change{&gone, true, kind})
	return time.Now(), true
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	old := s.objects[kind][name]
	if old != nil && bytes.Equal(old.Spec, spec) {
		return old
	}
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if old != nil {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	s.objects[kind][name] = o
	s.record(change{o, false, kind})
	return o
}

func (s *store) record(c change) {
	s.events = append(s.events, c)
	if len(s.events) > historyLimit {
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the calls of the pages on /api/objects/KIND and /api/objects/KIND/NAME.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !found {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if o := s.objects[kind][name]; o != nil {
			answer(w, http.StatusOK, o)
			return
		}
		http.NotFound(w, r)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		if _, existed := s.remove(kind, name); !existed {
			http.NotFound(w, r)
		}
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	create := r.Method == http.MethodPost
	if create {
		name = o.Metadata.Name
	}
	old := s.objects[kind][name]
	switch {
	case create && old != nil, !create && old != nil && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
	case !create && old == nil:
		http.NotFound(w, r)
	default:
		answer(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []*object{}
	for _, name := range names[:min(len(names), 50)] {
		items = append(items, s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(names), "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil || waitMs < 0 || waitMs > 30_000 {
		http.Error(w, "invalid watch", http.StatusBadRequest)
		return
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	var cut <-chan time.Time
	if s.cutAfter != nil {
		if d := s.cutAfter(caller, kind); d > 0 {
			cut = time.After(d)
		}
	}
	for done := false; ; {
		s.mutex.Lock()
		changed, asOf := s.changed, s.revision
		events := []change{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 && s.loseWatch != nil && s.loseWatch(caller, kind, events) {
			s.swallow(w)
			return
		}
		if len(events) > 0 || done {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// swallow leaves the connection open until the caller closes it and returns nothing further on it.
func (s *store) swallow(w http.ResponseWriter) {
	socket, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = socket.Close() }()
	go func() {
		<-s.stop
		_ = socket.Close()
	}()
	_ = socket.SetDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, socket)
}

func answer(w http.ResponseWriter, status int, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}
