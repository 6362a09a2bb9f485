package links

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

const (
	// A frozen host answers no SYN; without a limit a dial would take minutes.
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	// A link to a restarted process must be back within the 3 s that a fault may affect requests.
	maxBackoff = time.Second
)

// accept serves incoming connections until the listener is closed.
func (m *Manager) accept(ctx context.Context) {
	for {
		s, err := m.listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = s.Close()
			}
			return
		}
		if err != nil {
			event.LinkAcceptFailed.Write(m.log, zap.Error(err))
			m.pause(ctx, minBackoff)
			continue
		}
		m.mu.RLock()
		full := len(m.conns) >= maxConns
		m.mu.RUnlock()
		if full {
			_ = s.Close()
			continue
		}
		m.tasks.Go(func() { m.serve(ctx, s, "") })
	}
}

// dial keeps a connection to address until ctx ends.
func (m *Manager) dial(ctx context.Context, address string) {
	wait := minBackoff
	for ctx.Err() == nil {
		start := m.timer.Now()
		s, err := m.dialOnce(ctx, address)
		if err != nil {
			event.LinkDialFailed.Write(m.log, zap.String("dialled", address), zap.Error(err))
		} else {
			m.serve(ctx, s, address)
		}
		if m.timer.Now().Sub(start) > DeadAfter && err == nil {
			wait = minBackoff
		}
		m.pause(ctx, jitter(wait))
		wait = min(2*wait, maxBackoff)
	}
}

func (m *Manager) dialOnce(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	timeout := m.timer.After(dialTimeout)
	go func() {
		defer close(done)
		select {
		case <-timeout:
			cancel()
		case <-ctx.Done():
		}
	}()
	s, err := (&net.Dialer{KeepAlive: -1, LocalAddr: m.source}).DialContext(ctx, "tcp", address)
	cancel()
	<-done
	return s, err
}

// pause waits for d or until ctx ends.
func (m *Manager) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-m.timer.After(d):
	}
}

// serve runs one connection to its end.
func (m *Manager) serve(ctx context.Context, socket net.Conn, dialled string) {
	c := newConn(m, socket, dialled)
	m.mu.Lock()
	m.conns[c] = struct{}{}
	m.mu.Unlock()
	defer m.unregister(c)
	c.run(ctx, func() { m.register(c) })
}

// supervise sends heartbeats and closes connections that are silent or stuck.
func (m *Manager) supervise(ctx context.Context) {
	u := m.timer.Subscribe(checkPeriod)
	defer u.Stop()
	for {
		// A tick that waited in the channel may be old.
		var due <-chan core.Instant
		if wait := m.check(m.timer.Now()); wait < checkPeriod {
			due = m.timer.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-u.C():
		case <-due:
		}
	}
}

// check closes the connections that are stuck at now, sends the heartbeats that are due and returns the time until
// another connection may have to be closed.
func (m *Manager) check(now core.Instant) time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	next := DeadAfter
	for c := range m.conns {
		if c.silent.Load() {
			continue
		}
		left := c.stuckIn(DeadAfter, now)
		if left < 0 {
			c.silent.Store(true)
			m.counters.silent.Add(1)
			c.close()
			continue
		}
		next = min(next, left+1)
		// Any frame is a sign of life.
		if now.Sub(core.Instant(c.wrote.Load())) >= Heartbeat {
			c.wrote.Store(int64(now))
			c.beat()
		}
	}
	return next
}

// jitter returns a random duration from half of d to d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
