package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"ebonyrouter.dev/core/codes"
)

// sweepInterval is the interval at which connections that were idle for too long are closed.
const sweepInterval = 5 * time.Second

// Proxy forwards HTTP requests. Create it with New and close it after its servers have stopped.
type Proxy struct {
	Config
	draining   atomic.Bool
	requestIDs *idGenerator
	inFlight   atomic.Int64
	codeNames  map[codes.Code]string
	pools      *pools
	splitter   splitter
	stopped    chan struct{}
	tasks      sync.WaitGroup
}

// New returns a Proxy and starts its background task, which closes idle connections.
func New(config Config) *Proxy {
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	p := &Proxy{
		Config:     config,
		requestIDs: newIDGenerator(),
		codeNames:  map[codes.Code]string{},
		pools:      &pools{byAddress: map[string]*pool{}, localAddress: config.Source, timer: config.Timer},
		stopped:    make(chan struct{}),
	}
	for _, info := range codes.All() {
		p.codeNames[info.Code] = info.Name
	}
	p.tasks.Go(p.closeIdleConnections)
	return p
}

// CallerHandler returns the handler of callers' requests. It removes the headers that only entry processes may set.
func (p *Proxy) CallerHandler() http.Handler {
	return p.handler(false)
}

// Close waits for background tasks and closes idle connections.
func (p *Proxy) Close() error {
	close(p.stopped)
	p.tasks.Wait()
	p.pools.closeIdle(true)
	return nil
}

// Drain makes each further response close its connection, so that a shutdown does not close kept-alive connections on
// which callers have just sent a request. Requests are still served.
func (p *Proxy) Drain() {
	p.draining.Store(true)
}

// InFlight returns the number of requests that are being served.
func (p *Proxy) InFlight() int {
	return int(p.inFlight.Load())
}

// RelayHandler returns the handler of the relay address. It trusts the headers set by other entry processes.
func (p *Proxy) RelayHandler() http.Handler {
	return p.handler(true)
}

func (p *Proxy) handler(relayed bool) http.Handler {
	router := chi.NewRouter()
	serve := func(w http.ResponseWriter, in *http.Request) { p.serve(w, in, relayed) }
	router.NotFound(serve)
	router.MethodNotAllowed(serve)
	return router
}

func (p *Proxy) closeIdleConnections() {
	ticks := p.Timer.Subscribe(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-p.stopped:
			return
		case <-ticks.C():
			p.pools.closeIdle(false)
		}
	}
}
