package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

// dialTimeout limits one connection attempt. The RTT between regions is 110 ms.
const dialTimeout = time.Second

// maxIdleTime is the time after which an idle connection is closed. Servers of entry processes keep idle connections
// longer.
const maxIdleTime = 20 * time.Second

// pool holds the connections to one address and enforces the connection limit.
type pool struct {
	address string
	// flow bounds the bytes in flight.
	flow         flow
	idle         []*conn
	limit        int
	mutex        sync.Mutex
	openCount    int
	localAddress net.Addr
	// suspectBefore is the time before which opened connections may be unresponsive.
	suspectBefore core.Instant
	timer         core.Timer
	waiters       []chan struct{}
}

// close closes c, which must not be idle in the pool, and wakes a waiter, which may open another connection.
func (p *pool) close(c *conn) {
	_ = c.socket.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connectionClosed()
}

// closeIdle closes the idle connections that match; the caller must hold the mutex.
func (p *pool) closeIdle(match func(*conn) bool) {
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if !match(c) {
			remaining = append(remaining, c)
			continue
		}
		_ = c.socket.Close()
		p.connectionClosed()
	}
	clear(p.idle[len(remaining):])
	p.idle = remaining
}

func (p *pool) dial(ctx context.Context, deadline core.Instant) (*conn, error) {
	timeout := min(dialTimeout, deadline.Sub(p.timer.Now()))
	dialer := net.Dialer{LocalAddr: p.localAddress, Timeout: max(timeout, time.Millisecond)}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.connectionClosed()
		return nil, err
	}
	return newConn(raw, p, p.timer), nil
}

// connectionClosed decrements the number of open connections and wakes a waiter; the caller must hold the mutex.
func (p *pool) connectionClosed() {
	p.openCount--
	p.wakeWaiter()
}

// get returns a connection that was idle for at most idleLimit or opens a new one. At the connection limit it waits
// until deadline.
func (p *pool) get(ctx context.Context, idleLimit time.Duration, deadline core.Instant) (*conn, error) {
	for {
		c, mayDial, wait := p.tryGet(idleLimit)
		if c != nil {
			if c.alive() {
				return c, nil
			}
			p.close(c)
			continue
		}
		if mayDial {
			return p.dial(ctx, deadline)
		}
		err := p.wait(ctx, wait, deadline)
		if err != nil {
			return nil, err
		}
	}
}

// removeWaiter removes a waiter; if it was woken already, it wakes the next one instead.
func (p *pool) removeWaiter(wait chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for n, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:n], p.waiters[n+1:]...)
			return
		}
	}
	p.wakeWaiter()
}

// put returns a connection to the pool after a complete exchange, or closes it if it is suspect or exceeds the
// connection limit.
func (p *pool) put(c *conn) {
	c.reused = true
	p.putUnused(c)
}

// putUnused returns a connection on which nothing was sent since it was taken. Otherwise it acts like put.
func (p *pool) putUnused(c *conn) {
	c.idleSince = p.timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.openedAt.Before(p.suspectBefore) || p.openCount > p.limit {
		_ = c.socket.Close()
		p.connectionClosed()
		return
	}
	p.idle = append(p.idle, c)
	p.wakeWaiter()
}

// suspect closes the idle connections opened before now and has the busy ones closed when they are returned.
func (p *pool) suspect(now core.Instant) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.suspectBefore = now
	p.closeIdle(func(c *conn) bool { return c.openedAt.Before(now) })
}

// closeExpired closes connections idle for longer than maxIdleTime, or all idle ones, and reports whether no connection
// is open.
func (p *pool) closeExpired(now core.Instant, all bool) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeIdle(func(c *conn) bool { return all || now.Sub(c.idleSince) > maxIdleTime })
	return p.openCount == 0
}

// tryGet returns the most recently used connection if it is reusable, otherwise permission to dial, otherwise a channel
// to wait on.
func (p *pool) tryGet(idleLimit time.Duration) (*conn, bool, chan struct{}) {
	now := p.timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	if last >= 0 && p.idle[last].reusable(now, idleLimit) {
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		return c, false, nil
	}
	if p.openCount >= p.limit && last >= 0 {
		oldest := p.idle[0]
		_ = oldest.socket.Close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.openCount--
	}
	if p.openCount < p.limit {
		p.openCount++
		return nil, true, nil
	}
	wait := make(chan struct{}, 1)
	p.waiters = append(p.waiters, wait)
	return nil, false, wait
}

// wait blocks until the waiter is woken, ctx is done or the deadline passes.
func (p *pool) wait(ctx context.Context, wait chan struct{}, deadline core.Instant) error {
	select {
	case <-wait:
		return nil
	case <-ctx.Done():
		p.removeWaiter(wait)
		return ctx.Err()
	case <-p.timer.After(deadline.Sub(p.timer.Now())):
		p.removeWaiter(wait)
		return context.DeadlineExceeded
	}
}

// wakeWaiter wakes the first waiter, if any; the caller must hold the mutex.
func (p *pool) wakeWaiter() {
	if len(p.waiters) == 0 {
		return
	}
	p.waiters[0] <- struct{}{}
	p.waiters = p.waiters[1:]
}
