package links

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/memory"
	"ebonyrouter.dev/core/ring"
	"ebonyrouter.dev/core/wire"
)

// errUnsent means that no byte of a request was written to its connection, so it can be sent over another connection.
const errUnsent = errors.ConstError("request not sent")

// conn is one TCP connection with its reader and writer goroutines.
type conn struct {
	// account is charged for frames that are received, handled or queued.
	account *memory.Account
	closing sync.Once
	// dialled is the address that this process dialled, or "" for an accepted connection.
	dialled string
	// handlers has one element for each request handler that is running.
	handlers chan struct{}
	// lastReceived is the instant at which the last bytes arrived.
	lastReceived atomic.Int64
	manager      *Manager
	peer         string
	ring         *ring.Ring
	unresponsive atomic.Bool
	socket       net.Conn
	tasks        sync.WaitGroup
	// lastSent is the instant at which the last frame was written or the last heartbeat was queued.
	lastSent atomic.Int64
	// writeStarted is the instant at which the current write began, or 0 if none is in progress.
	writeStarted atomic.Int64
}

func newConn(m *Manager, socket net.Conn, dialled string) *conn {
	var budget *memory.Budget
	if m.guard != nil {
		budget = m.guard.LinkBudget
	}
	c := &conn{
		account:  memory.NewAccount(budget),
		dialled:  dialled,
		handlers: make(chan struct{}, m.handlerLimit),
		manager:  m,
		ring:     ring.New(m.ringSize, ring.RuleDropOldest),
		socket:   socket,
	}
	c.lastReceived.Store(int64(m.timer.Now()))
	return c
}

func (c *conn) close() {
	c.closing.Do(func() {
		c.ring.Close()
		_ = c.socket.Close()
	})
}

// receivedWithin reports whether bytes from the peer arrived within d before now.
func (c *conn) receivedWithin(d time.Duration, now core.Instant) bool {
	return now.Sub(core.Instant(c.lastReceived.Load())) <= d
}

// enqueue adds a frame to the send ring; the error is core.ErrLinkDown or core.ErrRingFull.
func (c *conn) enqueue(o outgoing, droppable bool) error {
	if !droppable && !c.chargeOutgoing(&o) {
		c.manager.counters.rejected.Add(1)
		return errors.Annotatef(core.ErrRingFull, "no memory for link to %s", c.peer)
	}
	err := c.ring.Put(ring.Entry{Droppable: droppable, Value: o})
	if err != nil {
		c.account.Release(o.charged)
	}
	switch {
	case errors.Is(err, ring.ErrFull):
		c.manager.counters.rejected.Add(1)
		return errors.Annotatef(core.ErrRingFull, "link to %s", c.peer)
	case err != nil:
		return errors.Annotatef(core.ErrLinkDown, "link to %s", c.peer)
	}
	return nil
}

// reply queues the reply to r. If the ring is full, the reply is discarded and the requester times out.
func (c *conn) reply(r *request, payload []byte, handlerErr error) {
	out := reply{Attempt: r.Attempt, ID: r.ID, Payload: payload}
	if handlerErr != nil {
		out.Error = handlerErr.Error()
		out.Payload = nil
	}
	f, err := encode(wire.KindReply, &out)
	if err != nil {
		f, err = encode(wire.KindReply, &reply{Attempt: r.Attempt, Error: err.Error(), ID: r.ID})
	}
	if err == nil {
		_ = c.enqueue(outgoing{frame: f, topic: topicReply}, false)
	}
}

// run exchanges hello frames and then serves the connection until it ends. It calls onOpen once both ends have received a
// hello.
func (c *conn) run(ctx context.Context, onOpen func()) {
	// Handlers are cancelled only after the connection is closed. Otherwise their cancellation errors would be sent as replies.
	handlerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer c.account.Close()
	defer c.close()
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	r := wire.NewReader(&activityReader{conn: c, stream: c.socket})
	r.SetReserve(c.account.Reserve)
	w := wire.NewWriter(c.socket)
	endHandshake := c.beginHandshake()
	err := c.handshake(r, w)
	endHandshake()
	if err != nil {
		c.logClosed(err)
		return
	}
	c.tasks.Go(func() { c.writeLoop(w) })
	markOpen := func() {
		onOpen()
		event.LinkUp.Write(c.manager.log, c.logFields()...)
	}
	if c.dialled != "" {
		markOpen()
		c.queueHeartbeat()
	}
	err = c.readLoop(handlerCtx, r, markOpen)
	c.close()
	cancel()
	c.tasks.Wait()
	c.logClosed(err)
}

// serveRequest runs the handler of a request in a goroutine, or replies with an error if the topic has none or too many
// requests of this connection are in progress. It reports whether the handler runs, which releases what is reserved for the frame.
func (c *conn) serveRequest(ctx context.Context, r *request, reserved int64) bool {
	h := c.manager.requestHandler(r.Topic)
	if h == nil {
		event.LinkNoHandler.Write(c.manager.log, append(c.logFields(), zap.String("topic", r.Topic))...)
		c.reply(r, nil, errors.Errorf("topic %q has no handler", r.Topic))
		return false
	}
	select {
	case c.handlers <- struct{}{}:
	default:
		event.LinkBusy.Write(c.manager.log, append(c.logFields(), zap.String("topic", r.Topic))...)
		c.reply(r, nil, errors.Errorf("%d requests in progress", cap(c.handlers)))
		return false
	}
	c.tasks.Go(func() {
		defer func() { <-c.handlers }()
		defer c.account.Release(reserved)
		payload, err := h(ctx, c.peer, r.Payload)
		c.reply(r, payload, err)
	})
	return true
}

// queueHeartbeat queues a heartbeat, which may be dropped when the ring is full.
func (c *conn) queueHeartbeat() {
	_ = c.ring.Put(ring.Entry{Droppable: true, Value: outgoing{frame: wire.Frame{Kind: wire.KindHeartbeat}, topic: topicHeartbeat}})
}

func (c *conn) logFields() []zap.Field {
	return []zap.Field{
		zap.String("peer", c.peer),
		zap.String("dialled", c.dialled),
		zap.Stringer("remote", c.socket.RemoteAddr()),
	}
}

func (c *conn) handleFrame(ctx context.Context, f wire.Frame) error {
	handled := true
	defer func() {
		if handled {
			c.account.Release(f.Reserved)
		}
	}()
	switch f.Kind {
	case wire.KindHeartbeat:
		return nil
	case wire.KindMessage:
		var m message
		if err := wire.Decode(f.Body, &m); err != nil {
			return errors.Annotate(errBadFrame, err.Error())
		}
		c.manager.dispatch(c, &m)
		return nil
	case wire.KindRequest:
		var r request
		if err := wire.Decode(f.Body, &r); err != nil {
			return errors.Annotate(errBadFrame, err.Error())
		}
		handled = !c.serveRequest(ctx, &r, f.Reserved)
		return nil
	case wire.KindReply:
		var r reply
		if err := wire.Decode(f.Body, &r); err != nil {
			return errors.Annotate(errBadFrame, err.Error())
		}
		c.manager.completeRequest(c, &r)
		return nil
	default:
		return errors.Annotatef(errBadFrame, "kind %d", f.Kind)
	}
}

// readLoop handles frames until the connection ends. On an accepted connection, the first frame after the hello confirms
// that the peer has received our hello; only then is the connection marked open. A peer that receives nothing keeps
// dialling, and its connections must not be used.
func (c *conn) readLoop(ctx context.Context, r *wire.Reader, markOpen func()) error {
	for first := c.dialled == ""; ; first = false {
		f, err := r.Read()
		if err != nil {
			return errors.Trace(err)
		}
		if first {
			markOpen()
		}
		if err := c.handleFrame(ctx, f); err != nil {
			return errors.Trace(err)
		}
	}
}

// logClosed logs why the connection ended and counts wrong tokens and invalid frames.
func (c *conn) logClosed(err error) {
	m := c.manager
	fields := append(c.logFields(), zap.Error(err))
	switch {
	case c.unresponsive.Load():
		event.LinkUnresponsive.Write(m.log, fields...)
	case errors.Is(err, errBadToken):
		m.counters.badTokens.Add(1)
		event.LinkBadToken.Write(m.log, fields...)
	case errors.Is(err, errBadFrame), errors.Is(err, wire.ErrTooLarge), errors.Is(err, wire.ErrExhausted):
		m.counters.badFrames.Add(1)
		event.LinkBadFrame.Write(m.log, fields...)
	default:
		event.LinkDown.Write(m.log, fields...)
	}
}

// timeUntilUnresponsive returns the time from now until the connection counts as unresponsive, because it has received no
// bytes or has been blocked in one write for d. It is negative if that time has passed.
func (c *conn) timeUntilUnresponsive(d time.Duration, now core.Instant) time.Duration {
	remaining := core.Instant(c.lastReceived.Load()).Add(d).Sub(now)
	if w := core.Instant(c.writeStarted.Load()); w != 0 {
		remaining = min(remaining, w.Add(d).Sub(now))
	}
	return remaining
}

func (c *conn) writeLoop(w *wire.Writer) {
	defer c.closeAndFailRequests()
	for {
		e, err := c.ring.Take()
		if err != nil {
			return
		}
		o, _ := e.Value.(outgoing)
		if o.request != nil {
			o.request.written.Store(true)
		}
		now := int64(c.manager.timer.Now())
		c.writeStarted.Store(now)
		c.lastSent.Store(now)
		c.manager.sent.add(o.topic, wire.HeaderBytes+len(o.frame.Body))
		err = w.Write(o.frame)
		if err == nil && c.ring.Len() == 0 {
			err = w.Flush()
		}
		c.writeStarted.Store(0)
		c.account.Release(o.charged)
		if err != nil {
			return
		}
	}
}

// closeAndFailRequests closes the connection and fails every request that is pending on it.
func (c *conn) closeAndFailRequests() {
	c.close()
	c.ring.Drain()
	c.manager.failRequests(c)
}
