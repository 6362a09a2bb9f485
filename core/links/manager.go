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
	"ebonyrouter.dev/core/wire"
)

var _ core.Links = (*Manager)(nil)

const (
	// Heartbeat is the time between two heartbeat frames on a connection.
	Heartbeat = 250 * time.Millisecond
	// DeadAfter is the silence after which a connection is closed.
	DeadAfter = time.Second

	// A connection that missed one heartbeat is used only if no other connection was heard from lately.
	preferWithin = 2 * Heartbeat
	// checkPeriod is a multiple of other periods of the programs, so that heartbeats cost no wake-ups of their own; silent
	// connections are closed when they are due, between two checks as well.
	checkPeriod = 100 * time.Millisecond

	defaultHandlers = 32
	defaultRing     = 1024
	maxAttempts     = 2
	maxConns        = 4096
)

// Manager is a core.Links over TCP.
type Manager struct {
	advertise    string
	cancel       context.CancelFunc
	closed       bool
	conns        map[*conn]struct{}
	counters     counters
	dials        map[string]context.CancelFunc
	droppable    map[string]bool
	handlerLimit int
	lastID       atomic.Uint64
	listen       string
	listener     net.Listener
	log          *zap.Logger
	messages     map[string]core.MessageHandler
	mu           sync.RWMutex
	open         map[string][]*conn
	requests     map[string]core.RequestHandler
	ringSize     int
	sent         traffic
	source       net.Addr
	tasks        sync.WaitGroup
	timer        core.Timer
	token        string
	waiters      map[uint64]*waiter
	waitersMu    sync.Mutex
}

// New returns a manager that accepts connections if WithListen is given.
func New(timer core.Timer, log *zap.Logger, options ...Option) (*Manager, error) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cancel:       cancel,
		conns:        map[*conn]struct{}{},
		dials:        map[string]context.CancelFunc{},
		droppable:    map[string]bool{core.TopicLoad: true},
		handlerLimit: defaultHandlers,
		log:          log,
		messages:     map[string]core.MessageHandler{},
		open:         map[string][]*conn{},
		requests:     map[string]core.RequestHandler{},
		ringSize:     defaultRing,
		sent:         traffic{topics: map[string]Traffic{}},
		timer:        timer,
		waiters:      map[uint64]*waiter{},
	}
	for _, o := range options {
		o(m)
	}
	if m.listen != "" {
		l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", m.listen)
		if err != nil {
			cancel()
			return nil, errors.Annotatef(err, "listen for links on %s (code %d)", m.listen, codes.ListenFailed)
		}
		m.listener = l
		if m.advertise == "" {
			m.advertise = l.Addr().String()
		}
	}
	if err := checkAdvertise(m.advertise); err != nil {
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

// Address returns the address of the listener, or an empty text without one.
func (m *Manager) Address() string {
	if m.listener == nil {
		return ""
	}
	return m.listener.Addr().String()
}

// Alive implements core.Links.Alive.
func (m *Manager) Alive(address string) bool {
	return m.pick(address) != nil
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
	return errors.Annotate(err, "closing the listener for links")
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

// Disconnect implements core.Links.Disconnect; a connection that was dialled here closes with the context of its dial.
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
	m.messages[topic] = handler
}

// HandleRequest implements core.Links.HandleRequest.
func (m *Manager) HandleRequest(topic string, handler core.RequestHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[topic] = handler
}

// Request implements core.Links.Request; a reply with an error is returned as a *RemoteError.
func (m *Manager) Request(ctx context.Context, address, topic string, payload []byte) ([]byte, error) {
	id := m.lastID.Add(1)
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		c := m.pick(address)
		if c == nil {
			break
		}
		answer, err := m.try(ctx, c, &request{Attempt: attempt, ID: id, Payload: payload, Topic: topic})
		if !errors.Is(err, errUnsent) {
			return answer, err
		}
	}
	return nil, errors.Annotatef(core.ErrLinkDown, "request of %s to %s", topic, address)
}

// Send implements core.Links.Send.
func (m *Manager) Send(address, topic string, payload []byte) error {
	c := m.pick(address)
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
	return errors.Annotatef(c.put(outgoing{frame: f, topic: topic}, m.droppable[topic]), "message of %s", topic)
}

// Stats returns the counters.
func (m *Manager) Stats() Stats {
	s := Stats{
		BadFrames:   m.counters.badFrames.Load(),
		BadTokens:   m.counters.badTokens.Load(),
		Dropped:     m.counters.dropped.Load(),
		LateReplies: m.counters.lateReplies.Load(),
		Opened:      m.counters.opened.Load(),
		Received:    m.counters.received.Load(),
		Rejected:    m.counters.rejected.Load(),
		Silent:      m.counters.silent.Load(),
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	for c := range m.conns {
		s.Dropped += c.ring.Stats().Dropped
	}
	return s
}

// checkAdvertise returns an error for an address that peers cannot dial.
func checkAdvertise(address string) error {
	if address == "" {
		return nil
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Addr().IsUnspecified() || a.Port() == 0 {
		return errors.Errorf("advertised address %q is not an IP address with port that peers can dial", address)
	}
	return nil
}

// abandon ends the wait of all requests on c.
func (m *Manager) abandon(c *conn) {
	m.waitersMu.Lock()
	defer m.waitersMu.Unlock()
	for id, w := range m.waiters {
		if w.conn != c {
			continue
		}
		delete(m.waiters, id)
		if w.written.Load() {
			w.result <- result{err: errors.Annotate(core.ErrNoReply, "the link closed")}
		} else {
			w.result <- result{err: errUnsent}
		}
	}
}

func (m *Manager) deliver(c *conn, g *message) {
	m.mu.RLock()
	h := m.messages[g.Topic]
	m.mu.RUnlock()
	if h == nil {
		event.LinkNoHandler.Write(m.log, append(c.fields(), zap.String("topic", g.Topic))...)
		return
	}
	h(c.peer, g.Payload)
}

// finish hands a reply to the request of the same connection, id and attempt.
func (m *Manager) finish(c *conn, r *reply) {
	m.waitersMu.Lock()
	w := m.waiters[r.ID]
	match := w != nil && w.conn == c && w.attempt == r.Attempt
	if match {
		delete(m.waiters, r.ID)
	}
	m.waitersMu.Unlock()
	switch {
	case !match:
		m.counters.lateReplies.Add(1)
		event.LinkLateReply.Write(m.log, append(c.fields(), zap.Uint64("id", r.ID), zap.Int("attempt", r.Attempt))...)
	case r.Error != "":
		w.result <- result{err: &RemoteError{Text: r.Error}}
	default:
		w.result <- result{payload: r.Payload}
	}
}

// pick returns the oldest connection that was heard from lately, or else the one heard from last, or nil.
func (m *Manager) pick(address string) *conn {
	now := m.timer.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	var best *conn
	for _, c := range m.open[address] {
		// A connection that was closed as stuck is removed a moment later.
		if c.silent.Load() {
			continue
		}
		if c.heardWithin(preferWithin, now) {
			return c
		}
		if c.heardWithin(DeadAfter, now) && (best == nil || c.heard.Load() > best.heard.Load()) {
			best = c
		}
	}
	return best
}

func (m *Manager) requestHandler(topic string) core.RequestHandler {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.requests[topic]
}

func (m *Manager) try(ctx context.Context, c *conn, r *request) ([]byte, error) {
	if err := checkTopic(r.Topic); err != nil {
		return nil, errors.Trace(err)
	}
	f, err := encode(wire.KindRequest, r)
	if err != nil {
		return nil, errors.Annotatef(err, "request of %s", r.Topic)
	}
	w := &waiter{attempt: r.Attempt, conn: c, id: r.ID, result: make(chan result, 1)}
	m.waitersMu.Lock()
	m.waiters[r.ID] = w
	m.waitersMu.Unlock()
	defer m.forget(w)
	err = c.put(outgoing{frame: f, topic: r.Topic, wait: w}, false)
	if errors.Is(err, core.ErrLinkDown) {
		return nil, errUnsent
	}
	if err != nil {
		return nil, errors.Annotatef(err, "request of %s", r.Topic)
	}
	select {
	case s := <-w.result:
		return s.payload, s.err
	case <-ctx.Done():
		return nil, errors.Annotatef(errors.WithType(ctx.Err(), core.ErrNoReply), "request of %s to %s", r.Topic, c.peer)
	}
}

func (m *Manager) forget(w *waiter) {
	m.waitersMu.Lock()
	defer m.waitersMu.Unlock()
	if m.waiters[w.id] == w {
		delete(m.waiters, w.id)
	}
}

// register adds an established connection under the address it was dialled at and the one its peer advertises.
func (m *Manager) register(c *conn) {
	m.counters.opened.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[c.peer] = append(m.open[c.peer], c)
	if c.dialled != "" && c.dialled != c.peer {
		m.open[c.dialled] = append(m.open[c.dialled], c)
	}
}

func (m *Manager) unregister(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
	m.counters.dropped.Add(c.ring.Stats().Dropped)
	for _, a := range []string{c.peer, c.dialled} {
		m.open[a] = slices.DeleteFunc(m.open[a], func(o *conn) bool { return o == c })
		if len(m.open[a]) == 0 {
			delete(m.open, a)
		}
	}
}
