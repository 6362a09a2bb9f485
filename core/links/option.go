package links

import "net"

// Option changes a Manager under construction.
type Option func(*Manager)

// WithAdvertise sets the address that peers know this process by; the default is the address of the listener.
func WithAdvertise(address string) Option {
	return func(m *Manager) { m.advertise = address }
}

// WithDroppable sets the topics whose oldest message is dropped when a send ring overflows.
func WithDroppable(topics ...string) Option {
	return func(m *Manager) {
		m.droppable = map[string]bool{}
		for _, t := range topics {
			m.droppable[t] = true
		}
	}
}

// WithHandlers sets the number of requests that one connection may have in progress in this process.
func WithHandlers(n int) Option {
	return func(m *Manager) { m.handlerLimit = max(n, 1) }
}

// WithListen makes the manager accept connections on an IP address with port; port 0 chooses a free one.
func WithListen(address string) Option {
	return func(m *Manager) { m.listen = address }
}

// WithRing sets the number of frames that may wait to be sent on one connection.
func WithRing(n int) Option {
	return func(m *Manager) { m.ringSize = n }
}

// WithSource sets the local address that dialled connections leave from; nil lets the system choose.
func WithSource(source net.Addr) Option {
	return func(m *Manager) { m.source = source }
}

// WithToken sets the shared token that both ends of a connection must present.
func WithToken(token string) Option {
	return func(m *Manager) { m.token = token }
}
