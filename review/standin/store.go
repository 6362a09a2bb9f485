package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. Each host reaches it through an address of its own, so that one
// host can be cut off while the store serves the others and the operator.
type store struct {
	changed  chan struct{}
	events   []storeEvent
	mutex    sync.Mutex
	objects  map[string]map[string]*storeObject
	revision int64
	record   *record
	// staleness is the age of what serializable calls return.
	staleness time.Duration
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
	at      time.Time
}

// pageItems and pageBytes bound one answer of the store.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func newStore(r *record) *store {
	return &store{changed: make(chan struct{}), objects: map[string]map[string]*storeObject{}, record: r, revision: 10}
}

// gate is the store's address for one host. While it is shut, the store resets the host's connections.
type gate struct {
	conns    map[net.Conn]bool
	listener net.Listener
	mutex    sync.Mutex
	server   *http.Server
	shut     bool
}

func (s *store) open(address string) (*gate, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &gate{conns: map[net.Conn]bool{}, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", s.read)
	mux.HandleFunc("GET /api/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /api/objects/{kind}", s.create)
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("DELETE /api/objects/{kind}/{name}", s.delete)
	g.server = &http.Server{Handler: mux, ConnState: func(c net.Conn, state http.ConnState) {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		switch {
		case state == http.StateClosed:
			delete(g.conns, c)
		case g.shut:
			reset(c)
		default:
			g.conns[c] = true
		}
	}}
	go func() { _ = g.server.Serve(listener) }()
	return g, nil
}

// setShut shuts or opens the gate; shutting it resets the connections that are open.
func (g *gate) setShut(shut bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.shut = shut
	if shut {
		for c := range g.conns {
			reset(c)
		}
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// put creates or replaces an object; spec is any value that can be encoded as JSON.
func (s *store) put(kind, name string, spec any) {
	content, ok := spec.(json.RawMessage)
	if !ok {
		content, _ = json.Marshal(spec)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.putLocked(kind, name, content)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) *storeObject {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storeObject{}
	}
	o := &storeObject{Metadata: storeMetadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec}
	if old := s.objects[kind][name]; old != nil {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	s.objects[kind][name] = o
	s.note(storeEvent{Object: o, kind: kind})
	return o
}

// note adds an event and wakes the watches; the caller holds the mutex.
func (s *store) note(e storeEvent) {
	e.at = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// same reports whether an entry differs from the stored one in no more than its sequence number.
func (s *store) same(kind, name string, entry map[string]any) bool {
	s.mutex.Lock()
	o := s.objects[kind][name]
	s.mutex.Unlock()
	if o == nil {
		return false
	}
	return bytes.Equal(withoutSequence(o.Spec), withoutSequence(mustEncode(entry)))
}

func mustEncode(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}

// withoutSequence returns a target's entry without its sequence number.
func withoutSequence(entry []byte) []byte {
	var decoded map[string]any
	if err := json.Unmarshal(entry, &decoded); err != nil {
		return entry
	}
	if status, ok := decoded["status"].(map[string]any); ok {
		delete(status, "seq")
	}
	return mustEncode(decoded)
}

func (s *store) remove(kind, name string) *storeObject {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.objects[kind][name]
	if old == nil {
		return nil
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *old
	gone.Metadata.Revision = s.revision
	s.note(storeEvent{Deleted: true, Object: &gone, kind: kind})
	return &gone
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	o := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mutex.Unlock()
	if o == nil {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var o storeObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "bad object"})
		return
	}
	kind := r.PathValue("kind")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if old := s.objects[kind][o.Metadata.Name]; old != nil {
		writeJSON(w, http.StatusConflict, old)
		return
	}
	writeJSON(w, http.StatusOK, s.putLocked(kind, o.Metadata.Name, o.Spec))
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) {
	var o storeObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "bad object"})
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.objects[kind][name]
	switch {
	case old == nil:
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such object"})
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		writeJSON(w, http.StatusConflict, old)
	default:
		writeJSON(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
	}
}

func (s *store) delete(w http.ResponseWriter, r *http.Request) {
	if o := s.remove(r.PathValue("kind"), r.PathValue("name")); o != nil {
		writeJSON(w, http.StatusOK, o)
		return
	}
	writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such object"})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	objects, asOf := s.objects[r.PathValue("kind")], s.revision
	if r.URL.Query().Has("serializable") && s.staleness > 0 {
		objects, asOf = s.earlier(r.PathValue("kind"))
	}
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
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(names), "asOf": asOf})
}

// earlier returns the objects of a kind and the revision as of staleness ago; the caller holds the mutex.
func (s *store) earlier(kind string) (map[string]*storeObject, int64) {
	objects, asOf := map[string]*storeObject{}, int64(1)
	for _, e := range s.events {
		if time.Since(e.at) < s.staleness {
			break
		}
		asOf = e.Object.Metadata.Revision
		switch {
		case e.kind != kind:
		case e.Deleted:
			delete(objects, e.Object.Metadata.Name)
		default:
			objects[e.Object.Metadata.Name] = e.Object
		}
	}
	return objects, asOf
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil || waitMs < 0 || waitMs > 30_000 {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "bad query"})
		return
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	staleness := time.Duration(0)
	if r.URL.Query().Has("serializable") {
		staleness = s.staleness
	}
	for done := false; ; {
		s.mutex.Lock()
		changed, asOf, size := s.changed, s.revision, 0
		if staleness > 0 {
			_, asOf = s.earlier("")
		}
		events := []storeEvent{}
		for _, e := range s.events {
			if e.Object.Metadata.Revision > asOf {
				break
			}
			if e.kind != r.PathValue("kind") || e.Object.Metadata.Revision <= after {
				continue
			}
			if size > pageBytes {
				asOf = events[len(events)-1].Object.Metadata.Revision
				break
			}
			events = append(events, e)
			size += len(e.Object.Spec)
		}
		s.mutex.Unlock()
		if len(events) > 0 || done {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		var later <-chan time.Time
		if staleness > 0 {
			later = time.After(20 * time.Millisecond)
		}
		select {
		case <-changed:
		case <-later:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}
