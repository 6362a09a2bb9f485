package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// ErrClosed is returned by Serve after Shutdown or Close.
const ErrClosed = errors.ConstError("intake server closed")

// acceptRetryDelay is the delay after a failed accept, for example when no file descriptor is available.
const acceptRetryDelay = 20 * time.Millisecond

// Limits of a server of New.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is longer than callers keep idle connections open, and than the interval of scrapes of metrics, which is a minute
	// at most.
	defaultIdleTimeout = 2 * time.Minute
)

// New returns a server with the usual limits. It serves one request of a connection at a time and reads no bodies, as for lookups, readiness
// checks, metrics and administration: a connection with a body closes after its response. A nil budget permits everything.
func New(handler http.Handler, budget core.MemoryBudget, log *zap.Logger) *Server {
	return &Server{
		Handler: handler, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, Log: log, MaxHeaderBytes: defaultHeaderBytes,
		Memory: budget,
	}
}

// Server accepts connections and serves their requests. Its fields must not be changed after Serve is called.
type Server struct {
	// MaxBufferedBodyBytes is the size from which a request body is streamed to the handler rather than read before the
	// handler runs.
	MaxBufferedBodyBytes int64
	Handler              http.Handler
	// MaxHeaderBytes limits the size of a request head.
	MaxHeaderBytes int64
	// MaxHeldBytes limits the memory of the responses of one connection that wait for earlier ones or are held until they are complete;
	// 0 means 1 MiB. A response that needs more waits for its turn.
	MaxHeldBytes int64
	// Memory is the process-wide budget for held responses; nil means unbounded.
	Memory core.MemoryBudget
	// HeaderTimeout limits the time to read a request head, and IdleTimeout the wait for the next request or for a
	// buffered body.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	Log           *zap.Logger
	// MaxPipelined limits the requests of one connection that are served concurrently.
	MaxPipelined int
	// Idempotent reports whether a request may be served before earlier responses are sent. If one of those closes the
	// connection, the caller sends the request again. If Idempotent is nil, requests are served one at a time.
	Idempotent func(*http.Request) bool

	closing   bool
	conns     map[*conn]struct{}
	listeners []net.Listener
	mutex     sync.Mutex
	tasks     sync.WaitGroup
}

// Close closes all listeners and connections immediately and waits for the handlers.
func (s *Server) Close() error {
	s.closeAll(func(c *conn) { c.abort("the server is closed", nil) })
	s.tasks.Wait()
	return nil
}

// Serve accepts connections until Shutdown or Close is called, then returns ErrClosed.
func (s *Server) Serve(listener net.Listener) error {
	s.mutex.Lock()
	if s.closing {
		s.mutex.Unlock()
		_ = listener.Close()
		return ErrClosed
	}
	s.listeners = append(s.listeners, listener)
	s.mutex.Unlock()
	for {
		raw, err := listener.Accept()
		if s.isClosing() {
			if err == nil {
				_ = raw.Close()
			}
			return ErrClosed
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Annotatef(err, "accept on %s", listener.Addr())
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.serveConn(raw)
	}
}

// Shutdown stops accepting connections, closes each connection after the responses to the requests of which a part has been
// read, and waits until all are closed or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeAll(func(c *conn) { c.closeAfterResponses() })
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "shut down")
	}
}

// removeConn removes a closed connection from the server.
func (s *Server) removeConn(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
}

// serveConn starts serving a new connection.
func (s *Server) serveConn(raw net.Conn) {
	c := newConn(s, raw)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closing {
		_ = raw.Close()
		return
	}
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	s.tasks.Go(c.serve)
}

// closeAll closes the listeners and calls end for each open connection.
func (s *Server) closeAll(end func(*conn)) {
	s.mutex.Lock()
	s.closing = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	var open []*conn
	for c := range s.conns {
		open = append(open, c)
	}
	s.mutex.Unlock()
	for _, c := range open {
		end(c)
	}
}

func (s *Server) isClosing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closing
}
