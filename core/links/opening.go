package links

import (
	"time"

	"ebonyrouter.dev/core/memory"
)

const (
	// handshakeTimeout limits the time until an accepted connection has presented its hello, which takes one round trip.
	handshakeTimeout = 2 * time.Second
	// openingDivisor is the part of the connections that may be without a hello, so that clients that are no hosts leave room for hosts.
	openingDivisor = 2
)

// mayAccept reports whether another connection may be accepted.
func (m *Manager) mayAccept() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.conns) < m.maxConns && int(m.opening.Load()) < max(1, m.maxConns/openingDivisor)
}

// beginHandshake limits the time of the handshake of an accepted connection. The returned function ends the limit.
func (c *conn) beginHandshake() func() {
	if c.dialled != "" {
		return func() {}
	}
	c.manager.opening.Add(1)
	_ = c.socket.SetReadDeadline(time.Now().Add(handshakeTimeout))
	return func() {
		c.manager.opening.Add(-1)
		if guarded, ok := c.socket.(*memory.Conn); ok {
			// A connection without a hello gives way to others.
			guarded.BeginServing()
		}
		_ = c.socket.SetReadDeadline(time.Time{})
	}
}
