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

// Guards against a link that counts as alive although its dialler has not got the answer to its hello: requests were
// sent to a host that could not be heard, for as long as it went on dialling.
func TestAcceptedLinkNeedsAnswer(t *testing.T) {
	a := start(t, system(t))
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
	alive(t, a, address)
}

// Guards against a link that leaves from another address than the one set, and against a peer that is known by the
// address it listens on instead of the one it advertises.
func TestSourceAndAdvertise(t *testing.T) {
	p := newPeer(t)
	a := start(t, system(t), links.WithAdvertise("192.0.2.1:70"), links.WithSource(&net.TCPAddr{IP: net.IPv4(127, 9, 8, 7)}))
	b := start(t, system(t))
	a.Connect(p.address)
	p.accept(t, "")
	assert.Equal(t, p.socket.RemoteAddr().(*net.TCPAddr).IP.String(), "127.9.8.7")
	a.Connect(b.Address())
	alive(t, b, "192.0.2.1:70")
}

// Guards against a link that carries traffic only towards the end that accepted, and against mutual dials that disturb
// each other.
func TestPairs(t *testing.T) {
	for name, tc := range map[string]struct{ mutual bool }{
		"one end dials":  {false},
		"both ends dial": {true},
	} {
		t.Run(name, func(t *testing.T) {
			a := start(t, system(t), links.WithToken("t"))
			b := start(t, system(t), links.WithToken("t"))
			got := make(chan string, 1)
			for _, m := range []*links.Manager{a, b} {
				m.HandleMessage("note", func(peer string, payload []byte) { got <- peer + string(payload) })
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
			alive(t, a, b.Address())
			alive(t, b, a.Address())
			for _, p := range [][2]*links.Manager{{a, b}, {b, a}} {
				from, to := p[0], p[1]
				assert.NilError(t, from.Send(to.Address(), "note", []byte("hi")))
				assert.Equal(t, <-got, from.Address()+"hi")
				y, err := from.Request(t.Context(), to.Address(), "echo", []byte("x"))
				assert.NilError(t, err)
				assert.Equal(t, string(y), "x"+from.Address())
				var remote *links.RemoteError
				_, err = from.Request(t.Context(), to.Address(), "echo", nil)
				assert.Assert(t, errors.As(err, &remote) && remote.Text == "empty")
			}
			a.Disconnect(b.Address())
			b.Disconnect(a.Address())
			poll.WaitOn(t, check(func() bool { return !a.Alive(b.Address()) && !b.Alive(a.Address()) }))
			assert.ErrorIs(t, a.Send(b.Address(), "note", nil), core.ErrLinkDown)
			_, err := a.Request(t.Context(), b.Address(), "echo", nil)
			assert.ErrorIs(t, err, core.ErrLinkDown)
		})
	}
}

// Guards against a part of one process that closes a link which the peer has opened for its own needs.
func TestDisconnectKeepsLinkOfPeer(t *testing.T) {
	a, b := start(t, system(t)), start(t, system(t))
	b.HandleRequest("echo", func(_ context.Context, _ string, payload []byte) ([]byte, error) { return payload, nil })
	a.Connect(b.Address())
	alive(t, a, b.Address())
	alive(t, b, a.Address())
	opened := a.Stats().Opened
	b.Disconnect(a.Address())
	_, err := a.Request(t.Context(), b.Address(), "echo", []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, a.Stats().Opened, opened)
}

// Guards against an advertised address that no peer can dial.
func TestAdvertise(t *testing.T) {
	for name, options := range map[string][]links.Option{
		"any address": {links.WithListen("0.0.0.0:0")},
		"no port":     {links.WithListen("127.0.0.1:0"), links.WithAdvertise("127.0.0.1:0")},
		"host name":   {links.WithAdvertise("localhost:1")},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := links.New(system(t), zap.NewNop(), options...)
			assert.ErrorContains(t, err, "advertised address")
		})
	}
}

// Guards against frames that are left out of the traffic that the capacity page is based on.
func TestTrafficIsCounted(t *testing.T) {
	a, b := start(t, system(t)), start(t, system(t))
	b.HandleRequest("echo", func(_ context.Context, _ string, payload []byte) ([]byte, error) { return payload, nil })
	a.Connect(b.Address())
	alive(t, a, b.Address())
	alive(t, b, a.Address())
	hello := b.Stats().Received
	assert.NilError(t, a.Send(b.Address(), "note", make([]byte, 100)))
	_, err := a.Request(t.Context(), b.Address(), "echo", []byte("x"))
	assert.NilError(t, err)
	sent := a.Sent("note").Bytes + a.Sent("echo").Bytes
	assert.Assert(t, sent > 100 && a.Sent("note").Frames == 1 && b.Sent("reply").Frames == 1)
	// Heartbeats may come in between.
	beats := int64(wire.HeaderBytes) * 4
	extra := b.Stats().Received - hello - sent
	assert.Assert(t, extra >= 0 && extra <= beats, "%d bytes", extra)
}

// Guards against heartbeats on links whose messages show the same.
func TestBusyLinkSendsNoHeartbeats(t *testing.T) {
	a, b := start(t, system(t)), start(t, system(t))
	b.HandleMessage("note", func(string, []byte) {})
	a.Connect(b.Address())
	alive(t, a, b.Address())
	before := a.Sent("heartbeat").Frames
	for range 20 {
		assert.NilError(t, a.Send(b.Address(), "note", nil))
		time.Sleep(links.Heartbeat / 5)
	}
	assert.Assert(t, a.Sent("heartbeat").Frames-before <= 1, "%d heartbeats", a.Sent("heartbeat").Frames-before)
}

// Guards against an idle link that is declared dead although heartbeats arrive.
func TestIdleLinkStaysAlive(t *testing.T) {
	a, b := start(t, system(t)), start(t, system(t))
	a.Connect(b.Address())
	alive(t, a, b.Address())
	time.Sleep(links.DeadAfter + 2*links.Heartbeat)
	assert.Assert(t, a.Alive(b.Address()) && b.Alive(a.Address()))
	assert.Equal(t, a.Stats().Opened, int64(1))
}

// Guards against a peer that stops reading and writing and is kept until the next check, or is not dialled again.
func TestSilentPeer(t *testing.T) {
	clock := timer.NewManual()
	m := start(t, clock)
	p := newPeer(t)
	m.Connect(p.address)
	p.accept(t, "")
	alive(t, m, p.address)
	failed := make(chan error, 1)
	go func() {
		_, err := m.Request(context.Background(), p.address, "echo", nil)
		failed <- err
	}()
	p.read(t, wire.KindRequest)
	clock.Advance(links.DeadAfter)
	assert.Assert(t, m.Alive(p.address))
	clock.Advance(time.Millisecond)
	assert.Assert(t, !m.Alive(p.address))
	assert.ErrorIs(t, <-failed, core.ErrNoReply)
	assert.Equal(t, m.Stats().Silent+m.Stats().Opened, int64(2))
	stop := make(chan struct{})
	done := make(chan struct{})
	go advance(clock, stop, done)
	p.accept(t, "")
	alive(t, m, p.address)
	close(stop)
	<-done
}

// Guards against a peer that sends heartbeats but takes no bytes, and against a ring without bound or with the wrong
// overflow rule.
func TestStuckPeerAndOverflow(t *testing.T) {
	clock := timer.NewManual()
	m := start(t, clock, links.WithRing(4), links.WithDroppable("load"))
	p := newPeer(t)
	m.Connect(p.address)
	p.accept(t, "")
	alive(t, m, p.address)
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
		clock.Advance(links.Heartbeat)
	}
	poll.WaitOn(t, check(func() bool { clock.Advance(50 * time.Millisecond); return m.Stats().Silent == 1 }))
	assert.ErrorIs(t, m.Send(p.address, "load", make([]byte, wire.MaxBodyBytes)), core.ErrLinkDown)
}

// Guards against a request that is reported as sent, or as not sent, against the truth when its link closes.
func TestClosedLinkTellsWhatWasSent(t *testing.T) {
	for name, tc := range map[string]struct {
		ahead int
		want  error
	}{
		"written":                   {0, core.ErrNoReply},
		"behind 32 MiB in the ring": {32, core.ErrLinkDown},
	} {
		t.Run(name, func(t *testing.T) {
			m := start(t, timer.NewManual())
			p := newPeer(t)
			m.Connect(p.address)
			p.accept(t, "")
			alive(t, m, p.address)
			for range tc.ahead {
				assert.NilError(t, m.Send(p.address, "ownership", make([]byte, wire.MaxBodyBytes-100)))
			}
			failed := make(chan error, 1)
			go func() {
				_, err := m.Request(context.Background(), p.address, "echo", nil)
				failed <- err
			}()
			if tc.ahead == 0 {
				p.read(t, wire.KindRequest)
			}
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(failed), 0)
			assert.NilError(t, p.socket.Close())
			assert.ErrorIs(t, <-failed, tc.want)
		})
	}
}

// Guards against a reply that ends another request than its own.
func TestLateAndReorderedReplies(t *testing.T) {
	m := start(t, system(t))
	p := newPeer(t)
	m.Connect(p.address)
	p.accept(t, "")
	alive(t, m, p.address)
	answers := map[string]chan string{"first": make(chan string, 1), "second": make(chan string, 1)}
	// A request is the array of attempt, id, payload and topic; a reply that of attempt, error, id and payload.
	sent := make([]any, 0, 2)
	for _, name := range []string{"first", "second"} {
		go func() {
			b, err := m.Request(context.Background(), p.address, name, nil)
			answers[name] <- string(b)
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
	reply(uint64(99), 1, "for nobody")
	reply(sent[0], 1, "for first")
	reply(sent[0], 1, "again")
	assert.Equal(t, <-answers["first"], "for first")
	assert.Equal(t, <-answers["second"], "for second")
	poll.WaitOn(t, check(func() bool { return m.Stats().LateReplies == 3 }))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := m.Request(ctx, p.address, "third", nil)
	assert.ErrorIs(t, err, core.ErrNoReply)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against bytes that stop the process or another link, and against connections that are kept after them.
func TestInvalidBytes(t *testing.T) {
	hello := helloFrame(t, "")
	for name, input := range map[string][]byte{
		"garbage":                 []byte("GET / HTTP/1.1\r\n\r\n"),
		"body too large":          append(hello[:len(hello):len(hello)], 0xff, 0xff, 0xff, 0xff, 3),
		"hello too large":         {0, 0, 0x20, 0, 1},
		"message before hello":    {0, 0, 0, 1, 3, 0x80},
		"no topic":                append(hello[:len(hello):len(hello)], 0, 0, 0, 1, 3, 0x80),
		"unknown kind":            append(hello[:len(hello):len(hello)], 0, 0, 0, 0, 77),
		"reply that is no reply":  append(hello[:len(hello):len(hello)], 0, 0, 0, 1, 5, 0xc1),
		"request without attempt": append(hello[:len(hello):len(hello)], 0, 0, 0, 1, 4, 0x80),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := start(t, system(t)), start(t, system(t))
			a.Connect(b.Address())
			alive(t, a, b.Address())
			s, err := net.Dial("tcp", b.Address())
			assert.NilError(t, err)
			defer func() { assert.Check(t, s.Close()) }()
			_, err = s.Write(input)
			assert.NilError(t, err)
			poll.WaitOn(t, check(func() bool { return b.Stats().BadFrames == 1 }))
			assert.NilError(t, s.SetReadDeadline(time.Now().Add(5*time.Second)))
			for err == nil {
				_, err = s.Read(make([]byte, 512))
			}
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err), "%v", err)
			assert.Assert(t, a.Alive(b.Address()))
		})
	}
}

// Guards against a peer without the token that gets a link, and against a fault that no event shows.
func TestWrongToken(t *testing.T) {
	seen, logs := observer.New(zapcore.DebugLevel)
	b, err := links.New(system(t), zap.New(seen), links.WithListen("127.0.0.1:0"), links.WithToken("right"))
	assert.NilError(t, err)
	defer func() { assert.Check(t, b.Close()) }()
	a := start(t, system(t), links.WithToken("wrong"))
	a.Connect(b.Address())
	poll.WaitOn(t, check(func() bool { return b.Stats().BadTokens > 0 }))
	assert.Assert(t, !a.Alive(b.Address()) && !b.Alive(a.Address()))
	assert.Assert(t, logs.FilterField(zap.Int("event", int(event.LinkBadToken.ID))).Len() > 0)
}

// Guards against request handlers without bound and against Close that leaves them running.
func TestHandlersAreBounded(t *testing.T) {
	a, b := start(t, system(t)), start(t, system(t), links.WithHandlers(1))
	entered := make(chan struct{})
	b.HandleRequest("wait", func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	a.Connect(b.Address())
	alive(t, a, b.Address())
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

func advance(clock *timer.Manual, stop, done chan struct{}) {
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

func alive(t *testing.T, m *links.Manager, address string) {
	t.Helper()
	poll.WaitOn(t, check(func() bool { return m.Alive(address) }))
}

func check(done func() bool) poll.Check {
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

func start(t testing.TB, clock core.Timer, options ...links.Option) *links.Manager {
	t.Helper()
	m, err := links.New(clock, zap.NewNop(), append([]links.Option{links.WithListen("127.0.0.1:0")}, options...)...)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, m.Close()) })
	return m
}

func system(t testing.TB) core.Timer {
	t.Helper()
	s, err := timer.NewSystem()
	assert.NilError(t, err)
	return s
}
