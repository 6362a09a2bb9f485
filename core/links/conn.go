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
	"ebonyrouter.dev/core/ring"
	"ebonyrouter.dev/core/wire"
)

// errUnsent means that a request was not written to its connection.
const errUnsent = errors.ConstError("request not sent")

// conn is one TCP connection with its reader and writer goroutines.
type conn struct {
	closing  sync.Once
	dialled  string
	handlers chan struct{}
	heard    atomic.Int64
	manager  *Manager
	peer     string
	ring     *ring.Ring
	silent   atomic.Bool
	socket   net.Conn
	tasks    sync.WaitGroup
	// wrote is the instant of the last frame that was queued as a heartbeat or written.
	wrote atomic.Int64
	// writing is the instant at which the current write began, or 0.
	writing atomic.Int64
}

func newConn(m *Manager, socket net.Conn, dialled string) *conn {
	c := &conn{
		dialled:  dialled,
		handlers: make(chan struct{}, m.handlerLimit),
		manager:  m,
		ring:     ring.New(m.ringSize, ring.RuleDropOldest),
		socket:   socket,
	}
	c.heard.Store(int64(m.timer.Now()))
	return c
}

func (c *conn) close() {
	c.closing.Do(func() {
		c.ring.Close()
		_ = c.socket.Close()
	})
}

// heardWithin reports whether the peer was heard from within d before now.
func (c *conn) heardWithin(d time.Duration, now core.Instant) bool {
	return now.Sub(core.Instant(c.heard.Load())) <= d
}

// put queues a frame; the error is core.ErrLinkDown or core.ErrRingFull.
func (c *conn) put(o outgoing, droppable bool) error {
	err := c.ring.Put(ring.Entry{Droppable: droppable, Value: o})
	switch {
	case errors.Is(err, ring.ErrFull):
		c.manager.counters.rejected.Add(1)
		return errors.Annotatef(core.ErrRingFull, "link to %s", c.peer)
	case err != nil:
		return errors.Annotatef(core.ErrLinkDown, "link to %s", c.peer)
	}
	return nil
}

// reply queues the answer to r; when the ring is full the requester runs into its own deadline.
func (c *conn) reply(r *request, payload []byte, failure error) {
	y := reply{Attempt: r.Attempt, ID: r.ID, Payload: payload}
	if failure != nil {
		y.Error = failure.Error()
		y.Payload = nil
	}
	f, err := encode(wire.KindReply, &y)
	if err != nil {
		f, err = encode(wire.KindReply, &reply{Attempt: r.Attempt, Error: err.Error(), ID: r.ID})
	}
	if err == nil {
		_ = c.put(outgoing{frame: f, topic: topicReply}, false)
	}
}

// run exchanges hello frames and then serves the connection until it ends; opened is called once both ends have got a
// hello.
func (c *conn) run(ctx context.Context, opened func()) {
	// Handlers are cancelled only after the connection is closed; their errors would otherwise be sent as replies.
	handling, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer c.close()
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	r := wire.NewReader(&heardReader{conn: c, stream: c.socket})
	w := wire.NewWriter(c.socket)
	if err := c.handshake(r, w); err != nil {
		c.report(err)
		return
	}
	c.tasks.Go(func() { c.write(w) })
	up := func() {
		opened()
		event.LinkUp.Write(c.manager.log, c.fields()...)
	}
	if c.dialled != "" {
		up()
		c.beat()
	}
	err := c.read(handling, r, up)
	c.close()
	cancel()
	c.tasks.Wait()
	c.report(err)
}

func (c *conn) answer(ctx context.Context, r *request) {
	h := c.manager.requestHandler(r.Topic)
	if h == nil {
		event.LinkNoHandler.Write(c.manager.log, append(c.fields(), zap.String("topic", r.Topic))...)
		c.reply(r, nil, errors.Errorf("topic %q has no handler", r.Topic))
		return
	}
	select {
	case c.handlers <- struct{}{}:
	default:
		event.LinkBusy.Write(c.manager.log, append(c.fields(), zap.String("topic", r.Topic))...)
		c.reply(r, nil, errors.Errorf("%d requests in progress", cap(c.handlers)))
		return
	}
	c.tasks.Go(func() {
		defer func() { <-c.handlers }()
		payload, err := h(ctx, c.peer, r.Payload)
		c.reply(r, payload, err)
	})
}

// beat queues a heartbeat.
func (c *conn) beat() {
	_ = c.ring.Put(ring.Entry{Droppable: true, Value: outgoing{frame: wire.Frame{Kind: wire.KindHeartbeat}, topic: topicHeartbeat}})
}

func (c *conn) fields() []zap.Field {
	return []zap.Field{
		zap.String("peer", c.peer),
		zap.String("dialled", c.dialled),
		zap.Stringer("remote", c.socket.RemoteAddr()),
	}
}

func (c *conn) handle(ctx context.Context, f wire.Frame) error {
	switch f.Kind {
	case wire.KindHeartbeat:
		return nil
	case wire.KindMessage:
		var m message
		if err := wire.Decode(f.Body, &m); err != nil {
			return errors.Annotate(errBadFrame, err.Error())
		}
		c.manager.deliver(c, &m)
		return nil
	case wire.KindRequest:
		var r request
		if err := wire.Decode(f.Body, &r); err != nil {
			return errors.Annotate(errBadFrame, err.Error())
		}
		c.answer(ctx, &r)
		return nil
	case wire.KindReply:
		var r reply
		if err := wire.Decode(f.Body, &r); err != nil {
			return errors.Annotate(errBadFrame, err.Error())
		}
		c.manager.finish(c, &r)
		return nil
	default:
		return errors.Annotatef(errBadFrame, "kind %d", f.Kind)
	}
}

// read handles frames until the connection ends. At the accepting end the first one shows that the peer has got the
// hello: a peer that hears nothing goes on dialling, and its connections must not be used.
func (c *conn) read(ctx context.Context, r *wire.Reader, up func()) error {
	for first := c.dialled == ""; ; first = false {
		f, err := r.Read()
		if err != nil {
			return errors.Trace(err)
		}
		if first {
			up()
		}
		if err := c.handle(ctx, f); err != nil {
			return errors.Trace(err)
		}
	}
}

func (c *conn) report(err error) {
	m := c.manager
	fields := append(c.fields(), zap.Error(err))
	switch {
	case c.silent.Load():
		event.LinkSilent.Write(m.log, fields...)
	case errors.Is(err, errBadToken):
		m.counters.badTokens.Add(1)
		event.LinkBadToken.Write(m.log, fields...)
	case errors.Is(err, errBadFrame), errors.Is(err, wire.ErrTooLarge):
		m.counters.badFrames.Add(1)
		event.LinkBadFrame.Write(m.log, fields...)
	default:
		event.LinkDown.Write(m.log, fields...)
	}
}

// stuckIn returns the time after which the peer was not heard from, or took no bytes, for longer than d, unless it does
// until then; it is negative when that is so at now.
func (c *conn) stuckIn(d time.Duration, now core.Instant) time.Duration {
	left := core.Instant(c.heard.Load()).Add(d).Sub(now)
	if w := core.Instant(c.writing.Load()); w != 0 {
		left = min(left, w.Add(d).Sub(now))
	}
	return left
}

func (c *conn) write(w *wire.Writer) {
	defer c.abandon()
	for {
		e, err := c.ring.Take()
		if err != nil {
			return
		}
		o, _ := e.Value.(outgoing)
		if o.wait != nil {
			o.wait.written.Store(true)
		}
		now := int64(c.manager.timer.Now())
		c.writing.Store(now)
		c.wrote.Store(now)
		c.manager.sent.add(o.topic, wire.HeaderBytes+len(o.frame.Body))
		err = w.Write(o.frame)
		if err == nil && c.ring.Len() == 0 {
			err = w.Flush()
		}
		c.writing.Store(0)
		if err != nil {
			return
		}
	}
}

// abandon closes the connection and ends the wait of every request on it.
func (c *conn) abandon() {
	c.close()
	c.ring.Drain()
	c.manager.abandon(c)
}
