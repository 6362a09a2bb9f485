package links

import (
	"net"

	"ebonyrouter.dev/core/memory"
)

// Option configures a Manager.
type Option func(*Manager)

// WithAdvertise sets the address that peers use for this process; the default is the address of the listener.
func WithAdvertise(address string) Option {
	return func(m *Manager) { m.advertised = address }
}

// WithDroppable sets the topics whose oldest message is dropped when a send ring overflows; the default is core.TopicLoad.
func WithDroppable(topics ...string) Option {
	return func(m *Manager) {
		m.droppable = map[string]bool{}
		for _, t := range topics {
			m.droppable[t] = true
		}
	}
}

// WithHandlerLimit sets the maximum number of requests from one connection that this process handles at a time.
func WithHandlerLimit(n int) Option {
	return func(m *Manager) { m.handlerLimit = max(n, 1) }
}

// WithListen makes the manager accept connections on an IP address with port; port 0 selects a free port.
func WithListen(address string) Option {
	return func(m *Manager) { m.listenAddress = address }
}

// WithGuard bounds the connections, dialled and accepted, and the memory that all frames hold together.
func WithGuard(guard *memory.Guard) Option {
	return func(m *Manager) { m.guard, m.maxConns = guard, guard.Limits.Links }
}

// WithMaxConns sets the number of connections, dialled and accepted, from which on no more are accepted; the default is 4,096.
func WithMaxConns(n int) Option {
	return func(m *Manager) { m.maxConns = n }
}

// WithRingSize sets the maximum number of frames queued for one connection.
func WithRingSize(n int) Option {
	return func(m *Manager) { m.ringSize = n }
}

// WithSource sets the local address of dialled connections; nil lets the system choose.
func WithSource(source net.Addr) Option {
	return func(m *Manager) { m.sourceAddress = source }
}

// WithToken sets the shared token that both ends of a connection must present.
func WithToken(token string) Option {
	return func(m *Manager) { m.token = token }
}
