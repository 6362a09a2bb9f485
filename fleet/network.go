package fleet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// StoreName and CallersName are the names of the store and of all callers in a Network.
const (
	StoreName   = "store"
	CallersName = "callers"
)

// blackholePollInterval is the interval at which a connection on a blackholed path checks whether the path has recovered.
const blackholePollInterval = 2 * time.Millisecond

// Network forwards TCP connections between its endpoints, such as hosts, the store and targets, and injects faults. It
// identifies the dialling endpoint by the source address of the connection; connections from other addresses are those of
// CallersName.
type Network struct {
	// bytes counts the forwarded bytes by the names of the sender and the receiver.
	bytes map[[2]string]int64
	// closed is set when the test ends, so that connections on blackholed paths end too.
	closed atomic.Bool
	// endpoints holds the names of the endpoints by the address from which they dial.
	endpoints map[netip.Addr]string
	// listeners holds the listener that Expose opened last for each name.
	listeners map[string]net.Listener
	mu        sync.Mutex
	// conns holds the open connections.
	conns map[*forwardedConn]bool
	t     T
	// paths holds the paths by the names of the sender and the receiver.
	paths map[[2]string]Path
}

// NewNetwork returns a network without faults that forwards until the test ends.
func NewNetwork(t T) *Network {
	n := &Network{
		bytes: map[[2]string]int64{}, endpoints: map[netip.Addr]string{}, listeners: map[string]net.Listener{},
		conns: map[*forwardedConn]bool{}, t: t, paths: map[[2]string]Path{},
	}
	t.Cleanup(func() { n.closed.Store(true) })
	return n
}

// Expose returns an address whose connections the network forwards to backend, an address of the named endpoint. It has the
// same port as backend, because a host with -listen-ip listens on the ports of the addresses that it advertises.
func (n *Network) Expose(name, backend string) string {
	n.t.Helper()
	_, port, err := net.SplitHostPort(backend)
	check(n.t, err)
	l := listen(n.t, NewLoopbackIP(), port)
	n.t.Cleanup(func() { _ = l.Close() })
	n.mu.Lock()
	n.listeners[name] = l
	n.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(conn.(*net.TCPConn), name, backend)
		}
	}()
	return l.Addr().String()
}

// AddEndpoint adds an endpoint and returns the IP address from which it must dial. It must listen on other IP addresses,
// because an outgoing connection may take any free port of its source address, including one on which a process is about to listen.
func (n *Network) AddEndpoint(name string) string {
	ip := NewLoopbackIP()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[netip.MustParseAddr(ip)] = name
	return ip
}

// MakeUnresponsive makes the open connections between two endpoints unresponsive for the rest of the test. New connections work.
func (n *Network) MakeUnresponsive(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.unresponsive.Store(true)
		}
	}
}

// BytesForwarded returns the number of bytes that were forwarded from one endpoint to another.
func (n *Network) BytesForwarded(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[[2]string{from, to}]
}

// RefuseConnections closes the listener that Expose opened last for a name, so that new connections are refused. Open
// connections stay open.
func (n *Network) RefuseConnections(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.listeners[name].Close()
}

// SetPaths sets the paths between two endpoints in both directions.
func (n *Network) SetPaths(a, b string, p Path) {
	n.SetPath(a, b, p)
	n.SetPath(b, a, p)
}

// SetPath sets the path from one endpoint to another. A path with Reset set resets the open connections between the two,
// regardless of which endpoint dialled.
func (n *Network) SetPath(from, to string, p Path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paths[[2]string{from, to}] = p
	if !p.Reset {
		return
	}
	for c := range n.conns {
		if c.from == from && c.to == to || c.from == to && c.to == from {
			c.reset()
		}
	}
}

// forward forwards a connection in both directions until both have ended. It resets the connection if the backend cannot be
// dialled or the path resets connections.
func (n *Network) forward(client *net.TCPConn, to, backend string) {
	remote, _ := netip.ParseAddrPort(client.RemoteAddr().String())
	c := &forwardedConn{client: client, from: CallersName, to: to}
	n.mu.Lock()
	if name, ok := n.endpoints[remote.Addr()]; ok {
		c.from = name
	}
	n.mu.Unlock()
	backendConn, err := new(net.Dialer).DialContext(context.Background(), "tcp", backend)
	if err != nil || n.path(c.from, c.to).Reset {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c.backend = backendConn.(*net.TCPConn)
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	// The TCP handshake takes one round trip before the first byte.
	rtt := n.path(c.from, c.to).Delay + n.path(c.to, c.from).Delay
	var tasks sync.WaitGroup
	tasks.Go(func() { n.pump(c, c.client, c.backend, c.from, c.to, time.Now().Add(rtt)) })
	tasks.Go(func() { n.pump(c, c.backend, c.client, c.to, c.from, time.Now()) })
	tasks.Wait()
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	_ = c.client.Close()
	_ = c.backend.Close()
}

// countBytes adds to the forwarded bytes of a direction.
func (n *Network) countBytes(from, to string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[[2]string{from, to}] += int64(size)
}

// pump forwards one direction of a connection in order and delivers nothing before notBefore. It drops delayed bytes when
// their sender resets the connection, because on a real network they would still be in its send buffer.
func (n *Network) pump(c *forwardedConn, in, out *net.TCPConn, from, to string, notBefore time.Time) {
	chunks := make(chan chunk, maxBufferedChunks)
	var reset atomic.Bool
	go n.read(in, from, to, chunks, &reset)
	broken, forwarded := false, 0
	for next := range chunks {
		if next.due.After(notBefore) {
			notBefore = next.due
		}
		time.Sleep(time.Until(notBefore))
		for !broken && (c.unresponsive.Load() || n.path(from, to).Blackhole) {
			time.Sleep(blackholePollInterval)
			broken = n.closed.Load() || reset.Load() || wasReset(in)
		}
		forwarded += len(next.data)
		if limit := n.path(from, to).ResetAfter; limit > 0 && forwarded > limit && !broken {
			_, _ = out.Write(next.data[:max(0, len(next.data)-(forwarded-limit))])
			c.reset()
			broken = true
		}
		switch {
		case broken:
		case next.data == nil:
			_ = out.CloseWrite()
		default:
			n.countBytes(from, to, len(next.data))
			if _, err := out.Write(next.data); err != nil {
				broken = true
				// The sender must notice this as it would notice a reset by the receiver.
				_ = in.CloseRead()
			}
		}
	}
}

// read sends the data of a connection to chunks, each with its delivery time, until a read fails. It sets reset if the peer
// has reset the connection.
func (n *Network) read(in *net.TCPConn, from, to string, chunks chan<- chunk, reset *atomic.Bool) {
	defer close(chunks)
	for {
		data := make([]byte, chunkBytes)
		size, err := in.Read(data)
		due := n.path(from, to).due()
		if size > 0 {
			chunks <- chunk{data: data[:size], due: due}
		}
		if err != nil {
			reset.Store(errors.Is(err, syscall.ECONNRESET))
			chunks <- chunk{due: due}
			return
		}
	}
}

// path returns the path from one endpoint to another.
func (n *Network) path(from, to string) Path {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paths[[2]string{from, to}]
}
