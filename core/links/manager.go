package links

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/memory"
	"ebonyrouter.dev/core/wire"
)

var _ core.Links = (*Manager)(nil)

const (
	// HeartbeatInterval is the time without a sent frame after which a connection sends a heartbeat frame.
	HeartbeatInterval = 250 * time.Millisecond
	// LivenessTimeout is the time without received bytes, or with one write blocked, after which a connection is closed.
	LivenessTimeout = time.Second

	// recentWindow is the time within which bytes must have arrived for a connection to be preferred. One that missed a
	// heartbeat is used only if no other connection received bytes more recently.
	recentWindow = 2 * HeartbeatInterval
	// checkInterval is a multiple of other periods of the programs, so that heartbeats need no wake-ups of their own.
	// An unresponsive connection is closed as soon as its timeout has passed, also between two checks.
	checkInterval = 100 * time.Millisecond

	defaultHandlerLimit = 32
	defaultRingSize     = 1024
	// maxAttempts limits the attempts to send a request; another one is made only if nothing of the last one was sent.
	maxAttempts = 2
	// defaultMaxConns is the number of connections, dialled and accepted, from which on no more are accepted.
	defaultMaxConns = 4096
)

// Manager implements core.Links over TCP.
type Manager struct {
	advertised string
	cancel     context.CancelFunc
	closed     bool
	// conns holds all connections, including those that are not open yet.
	conns    map[*conn]struct{}
	counters counters
	// dials holds for each address that is dialled the function that ends the dialling.
	dials     map[string]context.CancelFunc
	droppable map[string]bool
	// guard bounds the connections and the memory of frames, or is nil.
	guard           *memory.Guard
	handlerLimit    int
	lastID          atomic.Uint64
	listenAddress   string
	listener        net.Listener
	log             *zap.Logger
	maxConns        int
	messageHandlers map[string]core.MessageHandler
	mu              sync.RWMutex
	// connsByAddress holds the open connections by peer address and by dialled address, oldest first.
	connsByAddress  map[string][]*conn
	requestHandlers map[string]core.RequestHandler
	ringSize        int
	sent            trafficByTopic
	sourceAddress   net.Addr
	tasks           sync.WaitGroup
	timer           core.Timer
	token           string
	// pending holds the requests without a reply by id.
	pending   map[uint64]*pendingRequest
	pendingMu sync.Mutex
	// opening is the number of accepted connections without a hello.
	opening atomic.Int64
}

// New returns a manager; it accepts connections only if WithListen is given.
func New(timer core.Timer, log *zap.Logger, options ...Option) (*Manager, error) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cancel:          cancel,
		conns:           map[*conn]struct{}{},
		dials:           map[string]context.CancelFunc{},
		droppable:       map[string]bool{core.TopicLoad: true},
		handlerLimit:    defaultHandlerLimit,
		log:             log,
		maxConns:        defaultMaxConns,
		messageHandlers: map[string]core.MessageHandler{},
		connsByAddress:  map[string][]*conn{},
		requestHandlers: map[string]core.RequestHandler{},
		ringSize:        defaultRingSize,
		sent:            trafficByTopic{topics: map[string]Traffic{}},
		timer:           timer,
		pending:         map[uint64]*pendingRequest{},
	}
	for _, o := range options {
		o(m)
	}
	if m.listenAddress != "" {
		l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", m.listenAddress)
		if err != nil {
			cancel()
			return nil, errors.Annotatef(err, "listen for links on %s (code %d)", m.listenAddress, codes.ListenFailed)
		}
		m.listener = l
		if m.guard != nil {
			m.listener = m.guard.ListenLinks(l)
		}
		if m.advertised == "" {
			m.advertised = l.Addr().String()
		}
	}
	if err := checkAdvertised(m.advertised); err != nil {
		cancel()
		if m.listener != nil {
			_ = m.listener.Close()
		}
		return nil, errors.Trace(err)
	}
	if m.listener != nil {
		m.tasks.Go(func() { m.accept(ctx) })
	}
	m.tasks.Go(func() { m.supervise(ctx) })
	return m, nil
}

// Address returns the address of the listener, or an empty string without one.
func (m *Manager) Address() string {
	if m.listener == nil {
		return ""
	}
	return m.listener.Addr().String()
}

// Alive implements core.Links.Alive.
func (m *Manager) Alive(address string) bool {
	return m.pickConn(address) != nil
}

// Close implements core.Links.Close.
func (m *Manager) Close() error {
	m.mu.Lock()
	m.closed = true
	for _, cancel := range m.dials {
		cancel()
	}
	m.mu.Unlock()
	m.cancel()
	var err error
	if m.listener != nil {
		err = m.listener.Close()
	}
	m.tasks.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Annotate(err, "close the listener for links")
}

// Connect implements core.Links.Connect.
func (m *Manager) Connect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.dials[address] != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.dials[address] = cancel
	m.tasks.Go(func() { m.dial(ctx, address) })
}

// Disconnect implements core.Links.Disconnect; cancelling the context of the dial closes its connection.
func (m *Manager) Disconnect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cancel := m.dials[address]; cancel != nil {
		cancel()
		delete(m.dials, address)
	}
}

// HandleMessage implements core.Links.HandleMessage.
func (m *Manager) HandleMessage(topic string, handler core.MessageHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.messageHandlers[topic] = handler
}

// HandleRequest implements core.Links.HandleRequest.
func (m *Manager) HandleRequest(topic string, handler core.RequestHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requestHandlers[topic] = handler
}

// Request implements core.Links.Request; an error returned by the handler of the peer becomes a *RemoteError.
func (m *Manager) Request(ctx context.Context, address, topic string, payload []byte) ([]byte, error) {
	id := m.lastID.Add(1)
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		c := m.pickConn(address)
		if c == nil {
			break
		}
		replyPayload, err := m.requestOn(ctx, c, &request{Attempt: attempt, ID: id, Payload: payload, Topic: topic})
		if !errors.Is(err, errUnsent) {
			return replyPayload, err
		}
	}
	return nil, errors.Annotatef(core.ErrLinkDown, "request of %s to %s", topic, address)
}

// Send implements core.Links.Send.
func (m *Manager) Send(address, topic string, payload []byte) error {
	c := m.pickConn(address)
	if c == nil {
		return errors.Annotatef(core.ErrLinkDown, "message of %s to %s", topic, address)
	}
	if err := checkTopic(topic); err != nil {
		return errors.Trace(err)
	}
	f, err := encode(wire.KindMessage, &message{Payload: payload, Topic: topic})
	if err != nil {
		return errors.Annotatef(err, "message of %s to %s", topic, address)
	}
	return errors.Annotatef(c.enqueue(outgoing{frame: f, topic: topic}, m.droppable[topic]), "message of %s", topic)
}

// Stats returns the counters, including those of open connections.
func (m *Manager) Stats() Stats {
	s := Stats{
		BadFrames:    m.counters.badFrames.Load(),
		BadTokens:    m.counters.badTokens.Load(),
		Dropped:      m.counters.dropped.Load(),
		LateReplies:  m.counters.lateReplies.Load(),
		Opened:       m.counters.opened.Load(),
		Received:     m.counters.received.Load(),
		Rejected:     m.counters.rejected.Load(),
		Unresponsive: m.counters.unresponsive.Load(),
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	for c := range m.conns {
		s.Dropped += c.ring.Stats().Dropped
	}
	return s
}

// checkAdvertised returns an error for an address that peers cannot dial.
func checkAdvertised(address string) error {
	if address == "" {
		return nil
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Addr().IsUnspecified() || a.Port() == 0 {
		return errors.Errorf("advertised address %q is not an IP address with port that peers can dial", address)
	}
	return nil
}

// failRequests fails all requests that are pending on c: with core.ErrNoReply if they were written, else with errUnsent.
func (m *Manager) failRequests(c *conn) {
	m.pendingMu.Lock()
	defer m.pendingMu.Unlock()
	for id, p := range m.pending {
		if p.conn != c {
			continue
		}
		delete(m.pending, id)
		if p.written.Load() {
			p.result <- result{err: errors.Annotate(core.ErrNoReply, "the link closed")}
		} else {
			p.result <- result{err: errUnsent}
		}
	}
}

// dispatch calls the handler of a one-way message.
func (m *Manager) dispatch(c *conn, g *message) {
	m.mu.RLock()
	h := m.messageHandlers[g.Topic]
	m.mu.RUnlock()
	if h == nil {
		event.LinkNoHandler.Write(m.log, append(c.logFields(), zap.String("topic", g.Topic))...)
		return
	}
	h(c.peer, g.Payload)
}

// completeRequest passes a reply to the pending request with the same connection, id and attempt. Other replies are late:
// they are counted, logged and discarded.
func (m *Manager) completeRequest(c *conn, r *reply) {
	m.pendingMu.Lock()
	p := m.pending[r.ID]
	match := p != nil && p.conn == c && p.attempt == r.Attempt
	if match {
		delete(m.pending, r.ID)
	}
	m.pendingMu.Unlock()
	switch {
	case !match:
		m.counters.lateReplies.Add(1)
		event.LinkLateReply.Write(m.log, append(c.logFields(), zap.Uint64("id", r.ID), zap.Int("attempt", r.Attempt))...)
	case r.Error != "":
		p.result <- result{err: &RemoteError{Text: r.Error}}
	default:
		p.result <- result{payload: r.Payload}
	}
}

// pickConn returns the oldest connection to address that received bytes within recentWindow. If there is none, it
// returns the one within LivenessTimeout that received bytes last, or nil.
func (m *Manager) pickConn(address string) *conn {
	now := m.timer.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	var best *conn
	for _, c := range m.connsByAddress[address] {
		// An unresponsive connection is closed at once but unregistered slightly later.
		if c.unresponsive.Load() {
			continue
		}
		if c.receivedWithin(recentWindow, now) {
			return c
		}
		if c.receivedWithin(LivenessTimeout, now) && (best == nil || c.lastReceived.Load() > best.lastReceived.Load()) {
			best = c
		}
	}
	return best
}

func (m *Manager) requestHandler(topic string) core.RequestHandler {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.requestHandlers[topic]
}

// requestOn sends a request over c and waits for its reply; the error is errUnsent if the request can be sent over another
// connection.
func (m *Manager) requestOn(ctx context.Context, c *conn, r *request) ([]byte, error) {
	if err := checkTopic(r.Topic); err != nil {
		return nil, errors.Trace(err)
	}
	f, err := encode(wire.KindRequest, r)
	if err != nil {
		return nil, errors.Annotatef(err, "request of %s", r.Topic)
	}
	p := &pendingRequest{attempt: r.Attempt, conn: c, id: r.ID, result: make(chan result, 1)}
	m.pendingMu.Lock()
	m.pending[r.ID] = p
	m.pendingMu.Unlock()
	defer m.removePending(p)
	err = c.enqueue(outgoing{frame: f, topic: r.Topic, request: p}, false)
	if errors.Is(err, core.ErrLinkDown) {
		return nil, errUnsent
	}
	if err != nil {
		return nil, errors.Annotatef(err, "request of %s", r.Topic)
	}
	select {
	case s := <-p.result:
		return s.payload, s.err
	case <-ctx.Done():
		return nil, errors.Annotatef(errors.WithType(ctx.Err(), core.ErrNoReply), "request of %s to %s", r.Topic, c.peer)
	}
}

func (m *Manager) removePending(p *pendingRequest) {
	m.pendingMu.Lock()
	defer m.pendingMu.Unlock()
	if m.pending[p.id] == p {
		delete(m.pending, p.id)
	}
}

// register adds an open connection under the address that its peer advertises and under the dialled address.
func (m *Manager) register(c *conn) {
	m.counters.opened.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connsByAddress[c.peer] = append(m.connsByAddress[c.peer], c)
	if c.dialled != "" && c.dialled != c.peer {
		m.connsByAddress[c.dialled] = append(m.connsByAddress[c.dialled], c)
	}
}

func (m *Manager) unregister(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
	m.counters.dropped.Add(c.ring.Stats().Dropped)
	for _, a := range []string{c.peer, c.dialled} {
		m.connsByAddress[a] = slices.DeleteFunc(m.connsByAddress[a], func(o *conn) bool { return o == c })
		if len(m.connsByAddress[a]) == 0 {
			delete(m.connsByAddress, a)
		}
	}
}
