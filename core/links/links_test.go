package links_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/links"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/core/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against a link that counts as alive although its dialler has not received the hello of the accepting end.
// Requests were sent to a host whose replies could not arrive, for as long as that host kept dialling.
func TestAcceptedLinkNeedsConfirmedHello(t *testing.T) {
	a := newManager(t, systemTimer(t))
	s, err := net.Dial("tcp", a.Address())
	assert.NilError(t, err)
	defer func() { _ = s.Close() }()
	p := &peer{reader: wire.NewReader(s), socket: s}
	_, err = s.Write(helloFrame(t, ""))
	assert.NilError(t, err)
	p.read(t, wire.KindHello)
	time.Sleep(100 * time.Millisecond)
	address := s.LocalAddr().String()
	assert.Assert(t, !a.Alive(address))
	p.write(t, wire.Frame{Kind: wire.KindHeartbeat})
	waitAlive(t, a, address)
}

// Guards against a link that is dialled from another source address than the configured one, and against a peer that is
// registered under the address on which it listens instead of the one that it advertises.
func TestSourceAndAdvertise(t *testing.T) {
	p := newPeer(t)
	a := newManager(t, systemTimer(t), links.WithAdvertise("192.0.2.1:70"),
		links.WithSource(&net.TCPAddr{IP: net.IPv4(127, 9, 8, 7)}))
	b := newManager(t, systemTimer(t))
	a.Connect(p.address)
	p.accept(t, "")
	assert.Equal(t, p.socket.RemoteAddr().(*net.TCPAddr).IP.String(), "127.9.8.7")
	a.Connect(b.Address())
	waitAlive(t, b, "192.0.2.1:70")
}

// Guards against a link that carries traffic only towards the accepting end, and against interference between the links
// of two processes that dial each other.
func TestLinkCarriesBothDirections(t *testing.T) {
	for name, tc := range map[string]struct{ mutual bool }{
		"one end dials":  {false},
		"both ends dial": {true},
	} {
		t.Run(name, func(t *testing.T) {
			a := newManager(t, systemTimer(t), links.WithToken("t"))
			b := newManager(t, systemTimer(t), links.WithToken("t"))
			received := make(chan string, 1)
			for _, m := range []*links.Manager{a, b} {
				m.HandleMessage("note", func(peer string, payload []byte) { received <- peer + string(payload) })
				m.HandleRequest("echo", func(_ context.Context, peer string, payload []byte) ([]byte, error) {
					if len(payload) == 0 {
						return nil, errors.New("empty")
					}
					return append(payload, peer...), nil
				})
			}
			a.Connect(b.Address())
			if tc.mutual {
				b.Connect(a.Address())
			}
			waitAlive(t, a, b.Address())
			waitAlive(t, b, a.Address())
			for _, p := range [][2]*links.Manager{{a, b}, {b, a}} {
				from, to := p[0], p[1]
				assert.NilError(t, from.Send(to.Address(), "note", []byte("hi")))
				assert.Equal(t, <-received, from.Address()+"hi")
				reply, err := from.Request(t.Context(), to.Address(), "echo", []byte("x"))
				assert.NilError(t, err)
				assert.Equal(t, string(reply), "x"+from.Address())
				var remote *links.RemoteError
				_, err = from.Request(t.Context(), to.Address(), "echo", nil)
				assert.Assert(t, errors.As(err, &remote) && remote.Text == "empty")
			}
			a.Disconnect(b.Address())
			b.Disconnect(a.Address())
			poll.WaitOn(t, condition(func() bool { return !a.Alive(b.Address()) && !b.Alive(a.Address()) }))
			assert.ErrorIs(t, a.Send(b.Address(), "note", nil), core.ErrLinkDown)
			_, err := a.Request(t.Context(), b.Address(), "echo", nil)
			assert.ErrorIs(t, err, core.ErrLinkDown)
		})
	}
}

// Guards against a Disconnect that closes a link which the peer has dialled.
func TestDisconnectKeepsLinkOfPeer(t *testing.T) {
	a, b := newManager(t, systemTimer(t)), newManager(t, systemTimer(t))
	b.HandleRequest("echo", func(_ context.Context, _ string, payload []byte) ([]byte, error) { return payload, nil })
	a.Connect(b.Address())
	waitAlive(t, a, b.Address())
	waitAlive(t, b, a.Address())
	opened := a.Stats().Opened
	b.Disconnect(a.Address())
	_, err := a.Request(t.Context(), b.Address(), "echo", []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, a.Stats().Opened, opened)
}

// Guards against advertising an address that no peer can dial.
func TestAdvertise(t *testing.T) {
	for name, options := range map[string][]links.Option{
		"any address": {links.WithListen("0.0.0.0:0")},
		"no port":     {links.WithListen("127.0.0.1:0"), links.WithAdvertise("127.0.0.1:0")},
		"host name":   {links.WithAdvertise("localhost:1")},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := links.New(systemTimer(t), zap.NewNop(), options...)
			assert.ErrorContains(t, err, "advertised address")
		})
	}
}

// Guards against frames that are missing from the traffic counters, on which the capacity figures are based.
func TestTrafficIsCounted(t *testing.T) {
	a, b := newManager(t, systemTimer(t)), newManager(t, systemTimer(t))
	b.HandleRequest("echo", func(_ context.Context, _ string, payload []byte) ([]byte, error) { return payload, nil })
	a.Connect(b.Address())
	waitAlive(t, a, b.Address())
	waitAlive(t, b, a.Address())
	before := b.Stats().Received
	assert.NilError(t, a.Send(b.Address(), "note", make([]byte, 100)))
	_, err := a.Request(t.Context(), b.Address(), "echo", []byte("x"))
	assert.NilError(t, err)
	sent := a.Sent("note").Bytes + a.Sent("echo").Bytes
	assert.Assert(t, sent > 100 && a.Sent("note").Frames == 1 && b.Sent("reply").Frames == 1)
	// Heartbeats may be sent in between.
	maxHeartbeatBytes := int64(wire.HeaderBytes) * 4
	extra := b.Stats().Received - before - sent
	assert.Assert(t, extra >= 0 && extra <= maxHeartbeatBytes, "%d bytes", extra)
}

// Guards against heartbeats on a link whose messages already show that this end is alive.
func TestBusyLinkSendsNoHeartbeats(t *testing.T) {
	a, b := newManager(t, systemTimer(t)), newManager(t, systemTimer(t))
	b.HandleMessage("note", func(string, []byte) {})
	a.Connect(b.Address())
	waitAlive(t, a, b.Address())
	before := a.Sent("heartbeat").Frames
	for range 20 {
		assert.NilError(t, a.Send(b.Address(), "note", nil))
		time.Sleep(links.HeartbeatInterval / 5)
	}
	assert.Assert(t, a.Sent("heartbeat").Frames-before <= 1, "%d heartbeats", a.Sent("heartbeat").Frames-before)
}

// Guards against closing an idle link although heartbeats arrive.
func TestIdleLinkStaysAlive(t *testing.T) {
	a, b := newManager(t, systemTimer(t)), newManager(t, systemTimer(t))
	a.Connect(b.Address())
	waitAlive(t, a, b.Address())
	time.Sleep(links.LivenessTimeout + 2*links.HeartbeatInterval)
	assert.Assert(t, a.Alive(b.Address()) && b.Alive(a.Address()))
	assert.Equal(t, a.Stats().Opened, int64(1))
}

// Guards against an unresponsive peer whose link is closed only at the next periodic check, or is not dialled again.
func TestUnresponsivePeer(t *testing.T) {
	clock := timer.NewManual()
	m := newManager(t, clock)
	p := newPeer(t)
	m.Connect(p.address)
	p.accept(t, "")
	waitAlive(t, m, p.address)
	failed := make(chan error, 1)
	go func() {
		_, err := m.Request(context.Background(), p.address, "echo", nil)
		failed <- err
	}()
	p.read(t, wire.KindRequest)
	clock.Advance(links.LivenessTimeout)
	assert.Assert(t, m.Alive(p.address))
	clock.Advance(time.Millisecond)
	assert.Assert(t, !m.Alive(p.address))
	assert.ErrorIs(t, <-failed, core.ErrNoReply)
	assert.Equal(t, m.Stats().Unresponsive+m.Stats().Opened, int64(2))
	stop := make(chan struct{})
	done := make(chan struct{})
	go advanceUntilStopped(clock, stop, done)
	p.accept(t, "")
	waitAlive(t, m, p.address)
	close(stop)
	<-done
}

// Guards against a link that stays open although its peer, which sends heartbeats, has stopped reading, and against a
// send ring that is unbounded or has the wrong overflow rule.
func TestBlockedPeerAndOverflow(t *testing.T) {
	clock := timer.NewManual()
	m := newManager(t, clock, links.WithRingSize(4), links.WithDroppable("load"))
	p := newPeer(t)
	m.Connect(p.address)
	p.accept(t, "")
	waitAlive(t, m, p.address)
	big := make([]byte, wire.MaxBodyBytes-100)
	for i := 0; m.Stats().Dropped == 0; i++ {
		assert.Assert(t, i < 1000)
		assert.NilError(t, m.Send(p.address, "load", big))
	}
	var err error
	for range 5 {
		err = m.Send(p.address, "ownership", big)
	}
	assert.ErrorIs(t, err, core.ErrRingFull)
	for range 5 {
		p.write(t, wire.Frame{Kind: wire.KindHeartbeat})
		time.Sleep(10 * time.Millisecond)
		clock.Advance(links.HeartbeatInterval)
	}
	poll.WaitOn(t, condition(func() bool { clock.Advance(50 * time.Millisecond); return m.Stats().Unresponsive == 1 }))
	assert.ErrorIs(t, m.Send(p.address, "load", make([]byte, wire.MaxBodyBytes)), core.ErrLinkDown)
}

// Guards against a wrong report of whether a request was sent when its link closes.
func TestClosedLinkReportsWhetherRequestWasSent(t *testing.T) {
	for name, tc := range map[string]struct {
		queuedFrames int
		want         error
	}{
		"written":                   {0, core.ErrNoReply},
		"behind 32 MiB in the ring": {32, core.ErrLinkDown},
	} {
		t.Run(name, func(t *testing.T) {
			m := newManager(t, timer.NewManual())
			p := newPeer(t)
			m.Connect(p.address)
			p.accept(t, "")
			waitAlive(t, m, p.address)
			for range tc.queuedFrames {
				assert.NilError(t, m.Send(p.address, "ownership", make([]byte, wire.MaxBodyBytes-100)))
			}
			failed := make(chan error, 1)
			go func() {
				_, err := m.Request(context.Background(), p.address, "echo", nil)
				failed <- err
			}()
			if tc.queuedFrames == 0 {
				p.read(t, wire.KindRequest)
			}
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(failed), 0)
			assert.NilError(t, p.socket.Close())
			assert.ErrorIs(t, <-failed, tc.want)
		})
	}
}

// Guards against a late or reordered reply that completes another request than its own.
func TestLateAndReorderedReplies(t *testing.T) {
	m := newManager(t, systemTimer(t))
	p := newPeer(t)
	m.Connect(p.address)
	p.accept(t, "")
	waitAlive(t, m, p.address)
	replies := map[string]chan string{"first": make(chan string, 1), "second": make(chan string, 1)}
	// A request is an array of attempt, id, payload and topic; a reply is an array of attempt, error, id and payload.
	sent := make([]any, 0, 2)
	for _, name := range []string{"first", "second"} {
		go func() {
			b, err := m.Request(context.Background(), p.address, name, nil)
			replies[name] <- string(b)
			assert.Check(t, err)
		}()
		var r []any
		assert.NilError(t, wire.Decode(p.read(t, wire.KindRequest), &r))
		assert.Equal(t, len(r), 4)
		assert.Equal(t, r[3], name)
		sent = append(sent, r[1])
	}
	reply := func(id, attempt any, text string) {
		b, err := wire.Encode([]any{attempt, "", id, []byte(text)})
		assert.NilError(t, err)
		p.write(t, wire.Frame{Kind: wire.KindReply, Body: b})
	}
	reply(sent[1], 1, "for second")
	reply(sent[0], 2, "for another attempt")
	reply(uint64(99), 1, "for no request")
	reply(sent[0], 1, "for first")
	reply(sent[0], 1, "again")
	assert.Equal(t, <-replies["first"], "for first")
	assert.Equal(t, <-replies["second"], "for second")
	poll.WaitOn(t, condition(func() bool { return m.Stats().LateReplies == 3 }))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := m.Request(ctx, p.address, "third", nil)
	assert.ErrorIs(t, err, core.ErrNoReply)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against invalid bytes that stop the process or close another link, and against connections that stay open after
// such bytes.
func TestInvalidBytes(t *testing.T) {
	hello := helloFrame(t, "")
	for name, input := range map[string][]byte{
		"garbage":                 []byte("GET / HTTP/1.1\r\n\r\n"),
		"body too large":          append(hello[:len(hello):len(hello)], 0xff, 0xff, 0xff, 0xff, 3),
		"hello too large":         {0, 0, 0x20, 0, 1},
		"message before hello":    {0, 0, 0, 1, 3, 0x80},
		"no topic":                append(hello[:len(hello):len(hello)], 0, 0, 0, 1, 3, 0x80),
		"unknown kind":            append(hello[:len(hello):len(hello)], 0, 0, 0, 0, 77),
		"malformed reply":         append(hello[:len(hello):len(hello)], 0, 0, 0, 1, 5, 0xc1),
		"request without attempt": append(hello[:len(hello):len(hello)], 0, 0, 0, 1, 4, 0x80),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newManager(t, systemTimer(t)), newManager(t, systemTimer(t))
			a.Connect(b.Address())
			waitAlive(t, a, b.Address())
			s, err := net.Dial("tcp", b.Address())
			assert.NilError(t, err)
			defer func() { assert.Check(t, s.Close()) }()
			_, err = s.Write(input)
			assert.NilError(t, err)
			poll.WaitOn(t, condition(func() bool { return b.Stats().BadFrames == 1 }))
			assert.NilError(t, s.SetReadDeadline(time.Now().Add(5*time.Second)))
			for err == nil {
				_, err = s.Read(make([]byte, 512))
			}
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err), "%v", err)
			assert.Assert(t, a.Alive(b.Address()))
		})
	}
}

// Guards against a peer with a wrong token that can open a link, and against a rejection that is not logged.
func TestWrongToken(t *testing.T) {
	logCore, logs := observer.New(zapcore.DebugLevel)
	b, err := links.New(systemTimer(t), zap.New(logCore), links.WithListen("127.0.0.1:0"), links.WithToken("right"))
	assert.NilError(t, err)
	defer func() { assert.Check(t, b.Close()) }()
	a := newManager(t, systemTimer(t), links.WithToken("wrong"))
	a.Connect(b.Address())
	poll.WaitOn(t, condition(func() bool { return b.Stats().BadTokens > 0 }))
	assert.Assert(t, !a.Alive(b.Address()) && !b.Alive(a.Address()))
	assert.Assert(t, logs.FilterField(zap.Int("event", int(event.LinkBadToken.ID))).Len() > 0)
}

// Guards against an unbounded number of request handlers, and against a Close that leaves them running.
func TestHandlersAreBounded(t *testing.T) {
	a, b := newManager(t, systemTimer(t)), newManager(t, systemTimer(t), links.WithHandlerLimit(1))
	entered := make(chan struct{})
	b.HandleRequest("wait", func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	a.Connect(b.Address())
	waitAlive(t, a, b.Address())
	failed := make(chan error, 1)
	go func() {
		_, err := a.Request(context.Background(), b.Address(), "wait", nil)
		failed <- err
	}()
	<-entered
	_, err := a.Request(t.Context(), b.Address(), "wait", nil)
	assert.ErrorContains(t, err, "1 requests in progress")
	assert.NilError(t, b.Close())
	assert.ErrorIs(t, <-failed, core.ErrNoReply)
}

func advanceUntilStopped(clock *timer.Manual, stop, done chan struct{}) {
	defer close(done)
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
			clock.Advance(50 * time.Millisecond)
		}
	}
}

func waitAlive(t *testing.T, m *links.Manager, address string) {
	t.Helper()
	poll.WaitOn(t, condition(func() bool { return m.Alive(address) }))
}

func condition(done func() bool) poll.Check {
	return func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("condition is false")
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func newManager(t testing.TB, clock core.Timer, options ...links.Option) *links.Manager {
	t.Helper()
	m, err := links.New(clock, zap.NewNop(), append([]links.Option{links.WithListen("127.0.0.1:0")}, options...)...)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, m.Close()) })
	return m
}

func systemTimer(t testing.TB) core.Timer {
	t.Helper()
	s, err := timer.NewSystem()
	assert.NilError(t, err)
	return s
}
