package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/store"
)

// Paths that control the test store.
const (
	// PathCalls returns the number of calls by kind on GET.
	PathCalls = "/control/calls"
	// PathFaults returns the active faults on GET and replaces them on PUT, as JSON of store.Faults.
	PathFaults = "/control/faults"
)

// maxBodyBytes leaves room for a value of core.MaxObjectBytes, encoded as base64 in JSON.
const maxBodyBytes = 2 * core.MaxObjectBytes

// Server is the HTTP handler of the test store.
type Server struct {
	http.Handler
	log    *zap.Logger
	memory *store.Memory
}

// New returns a handler that serves the object API and the control paths for memory.
func New(memory *store.Memory, log *zap.Logger) *Server {
	s := &Server{log: log, memory: memory}
	r := chi.NewRouter()
	r.Get(store.PathObjects+"*", s.get)
	r.Put(store.PathObjects+"*", s.put)
	r.Delete(store.PathObjects+"*", s.delete)
	r.Get(store.PathList, s.list)
	r.Get(store.PathWatch, s.watch)
	r.Get(PathCalls, s.calls)
	r.Get(PathFaults, s.faults)
	r.Put(PathFaults, s.setFaults)
	s.Handler = r
	return s
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, s.memory.Calls())
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	// A received write is processed even if its caller has stopped waiting.
	if err := s.memory.Delete(context.WithoutCancel(r.Context()), key(r), version); err != nil {
		writeError(w, err)
		return
	}
	s.writeJSON(w, core.Object{Key: key(r), Deleted: true})
}

func (s *Server) faults(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, s.memory.Faults())
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	knownVersion := int64(0)
	if text := r.Header.Get(store.HeaderUnlessVersion); text != "" {
		var err error
		if knownVersion, err = strconv.ParseInt(text, 10, 64); err != nil {
			http.Error(w, store.HeaderUnlessVersion+": "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	o, err := s.memory.GetChanged(r.Context(), key(r), knownVersion)
	if err != nil {
		writeError(w, err)
		return
	}
	s.writeJSON(w, o)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.memory.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	response := store.ListResponse{Objects: objects}
	for _, o := range objects {
		response.Version = max(response.Version, o.Version)
	}
	s.writeJSON(w, response)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	var o core.Object
	if !decode(w, r, &o) {
		return
	}
	next, err := s.memory.Put(context.WithoutCancel(r.Context()), key(r), o.Value, version)
	if err != nil {
		writeError(w, err)
		return
	}
	s.writeJSON(w, core.Object{Key: key(r), Version: next})
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f store.Faults
	if !decode(w, r, &f) {
		return
	}
	s.memory.SetFaults(f)
	event.TestStoreFaultsSet.Write(s.log,
		zap.Bool("outage", f.Outage), zap.Int64("slow_ms", f.SlowMs), zap.Int("lost_answers", f.LostResponses))
	s.writeJSON(w, f)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	objects, next, err := s.memory.Watch(r.Context(), r.URL.Query().Get("prefix"), after)
	if err != nil {
		writeError(w, err)
		return
	}
	s.writeJSON(w, store.ListResponse{Objects: objects, Version: next})
}

func (s *Server) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		event.TestStoreResponseFailed.Write(s.log, zap.Error(err))
	}
}

// decode decodes the body of r into value. If that fails, it responds with an error and returns false.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, "body: "+err.Error(), status)
	return false
}

// expectedVersion returns the version in store.HeaderIfVersion. If the header is missing or invalid, it responds with an
// error and returns false.
func expectedVersion(w http.ResponseWriter, r *http.Request) (int64, bool) {
	version, err := strconv.ParseInt(r.Header.Get(store.HeaderIfVersion), 10, 64)
	if err != nil {
		http.Error(w, store.HeaderIfVersion+": "+err.Error(), http.StatusBadRequest)
		return 0, false
	}
	return version, true
}

func key(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, store.PathObjects)
}

// writeError responds with the status for err. For core.ErrUncertain, which stands for a lost response, it closes the
// connection without a response.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, core.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, core.ErrUnchanged):
		w.WriteHeader(http.StatusNotModified)
	case errors.Is(err, core.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, core.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, core.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
