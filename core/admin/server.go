package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/intake"
	"ebonyrouter.dev/core/lines"
	"ebonyrouter.dev/core/memory"
)

const bearerPrefix = "Bearer "

// Problem is the JSON body of every error response.
type Problem struct {
	Code codes.Code `json:"code"`
	Text string     `json:"text"`
}

// Server serves health, readiness and metrics without authentication and all paths below /v1 with a bearer token.
type Server struct {
	listener net.Listener
	log      *zap.Logger
	metrics  http.Handler
	// guard bounds the connections and the memory that they hold, or is nil.
	guard  *memory.Guard
	ready  func() error
	server *intake.Server
	token  string
}

// Option configures a Server.
type Option func(*Server)

// WithMetrics serves handler at /metrics.
func WithMetrics(handler http.Handler) Option {
	return func(s *Server) { s.metrics = handler }
}

// WithGuard bounds the connections and the memory that they hold.
func WithGuard(guard *memory.Guard) Option {
	return func(s *Server) { s.guard = guard }
}

// WithReady sets the readiness check. Its error is returned to the client with status 503.
func WithReady(ready func() error) Option {
	return func(s *Server) { s.ready = ready }
}

// WithToken sets the bearer token; without one every request below /v1 is rejected.
func WithToken(token string) Option {
	return func(s *Server) { s.token = token }
}

// New listens on address and returns a server. The function routes adds the API routes below /v1.
func New(log *zap.Logger, address string, routes func(chi.Router), options ...Option) (*Server, error) {
	s := &Server{log: log}
	for _, option := range options {
		option(s)
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on administration address %s (code %d)", address, codes.ListenFailed)
	}
	s.listener = listener
	s.server = intake.New(s.router(routes), nil, log)
	if s.guard != nil {
		s.listener = s.guard.Listen(listener, "admin", s.guard.Limits.Other)
		s.server.Memory = s.guard.Budget
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, intake.ErrClosed) {
		return nil
	}
	return errors.Trace(err)
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if s.token == "" || subtle.ConstantTimeCompare([]byte(given), []byte(s.token)) != 1 {
			event.AdminUnauthorized.Write(s.log, zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path))
			WriteProblem(w, http.StatusUnauthorized, codes.Unauthorized, "missing or wrong bearer token")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, map[string]string{"status": "ok"})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.ready == nil {
		WriteJSON(w, map[string]string{"status": "ready"})
		return
	}
	if err := s.ready(); err != nil {
		WriteProblem(w, http.StatusServiceUnavailable, codes.NotReady, err.Error())
		return
	}
	WriteJSON(w, map[string]string{"status": "ready"})
}

func (s *Server) router(routes func(chi.Router)) http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.handleHealth)
	r.Get("/readyz", s.handleReady)
	if s.metrics != nil {
		r.Handle("/metrics", s.metrics)
	}
	r.Route("/v1", func(api chi.Router) {
		api.Use(s.authenticate)
		routes(api)
	})
	r.NotFound(func(w http.ResponseWriter, req *http.Request) {
		WriteProblem(w, http.StatusNotFound, codes.UnknownEndpoint, "no resource at "+req.URL.Path)
	})
	return r
}

// WriteJSON writes value as the JSON body of a 200 response.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// WriteProblem writes an error response with a result code. The text may repeat what the client has sent.
func WriteProblem(w http.ResponseWriter, status int, code codes.Code, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{Code: code, Text: lines.Shorten(text, lines.MaxErrorBytes)})
}
