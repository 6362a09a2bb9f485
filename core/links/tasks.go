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
	// dialTimeout limits a dial to a frozen host, which does not respond to the SYN; the system default takes minutes.
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	// maxBackoff lets a link to a restarted process recover within the 3 s for which a fault may affect requests.
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
			m.sleep(ctx, minBackoff)
			continue
		}
		if !m.mayAccept() {
			_ = s.Close()
			continue
		}
		m.tasks.Go(func() { m.serve(ctx, s, "") })
	}
}

// dial keeps a connection to address open until ctx ends, and redials with backoff.
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
		if m.timer.Now().Sub(start) > LivenessTimeout && err == nil {
			wait = minBackoff
		}
		m.sleep(ctx, jitter(wait))
		wait = min(2*wait, maxBackoff)
	}
}

// dialOnce dials address; it gives up after dialTimeout or when ctx ends.
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
	s, err := (&net.Dialer{KeepAlive: -1, LocalAddr: m.sourceAddress}).DialContext(ctx, "tcp", address)
	cancel()
	<-done
	return s, err
}

// sleep waits for d or until ctx ends.
func (m *Manager) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-m.timer.After(d):
	}
}

// serve runs one connection until it ends.
func (m *Manager) serve(ctx context.Context, socket net.Conn, dialled string) {
	c := newConn(m, socket, dialled)
	m.mu.Lock()
	m.conns[c] = struct{}{}
	m.mu.Unlock()
	defer m.unregister(c)
	c.run(ctx, func() { m.register(c) })
}

// supervise sends heartbeats and closes unresponsive connections.
func (m *Manager) supervise(ctx context.Context) {
	ticks := m.timer.Subscribe(checkInterval)
	defer ticks.Stop()
	for {
		// The instant of a tick can be outdated, because the tick may have been waiting in the channel.
		var due <-chan core.Instant
		if wait := m.checkConns(m.timer.Now()); wait < checkInterval {
			due = m.timer.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		case <-due:
		}
	}
}

// checkConns closes the connections that are unresponsive at now, sends due heartbeats and returns the time until another
// connection may have to be closed.
func (m *Manager) checkConns(now core.Instant) time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	next := LivenessTimeout
	for c := range m.conns {
		if c.unresponsive.Load() {
			continue
		}
		remaining := c.timeUntilUnresponsive(LivenessTimeout, now)
		if remaining < 0 {
			c.unresponsive.Store(true)
			m.counters.unresponsive.Add(1)
			c.close()
			continue
		}
		next = min(next, remaining+1)
		// Any sent frame replaces a heartbeat.
		if now.Sub(core.Instant(c.lastSent.Load())) >= HeartbeatInterval {
			c.lastSent.Store(int64(now))
			c.queueHeartbeat()
		}
	}
	return next
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
