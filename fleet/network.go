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

// StoreName and CallersName stand for the store and for all callers in a Network.
const (
	StoreName   = "store"
	CallersName = "callers"
)

// silentPoll is the time between two looks whether a silent path is healed.
const silentPoll = 2 * time.Millisecond

// Network forwards the TCP connections between hosts; it knows the dialling host by its source address.
type Network struct {
	// bytes counts what was passed on from one host to another.
	bytes map[[2]string]int64
	ended atomic.Bool
	hosts map[netip.Addr]string
	// listeners are those of the paths to a target, by its name.
	listeners map[string]net.Listener
	mu        sync.Mutex
	open      map[*forward]bool
	t         T
	paths     map[[2]string]Path
}

// NewNetwork returns a network without faults that lasts until the test ends.
func NewNetwork(t T) *Network {
	n := &Network{
		bytes: map[[2]string]int64{}, hosts: map[netip.Addr]string{}, listeners: map[string]net.Listener{},
		open: map[*forward]bool{}, t: t, paths: map[[2]string]Path{},
	}
	t.Cleanup(func() { n.ended.Store(true) })
	return n
}

// Expose returns an address that leads to backend, an address of the member name, through the network. It has the port of
// backend, because a host with -listen-ip listens on the ports of the addresses that it advertises.
func (n *Network) Expose(name, backend string) string {
	n.t.Helper()
	_, port, err := net.SplitHostPort(backend)
	check(n.t, err)
	l := listen(n.t, OwnIP(), port)
	n.t.Cleanup(func() { _ = l.Close() })
	n.mu.Lock()
	n.listeners[name] = l
	n.mu.Unlock()
	go func() {
		for {
			s, err := l.Accept()
			if err != nil {
				return
			}
			go n.connect(s.(*net.TCPConn), name, backend)
		}
	}()
	return l.Addr().String()
}

// Join returns the address that a new member dials from. It listens on other addresses: a connection takes any free port
// of the address that it leaves from, also one that a process of the host is about to listen on.
func (n *Network) Join(name string) string {
	ip := OwnIP()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[netip.MustParseAddr(ip)] = name
	return ip
}

// Lose makes the open connections between two hosts silent for good; new ones work.
func (n *Network) Lose(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for f := range n.open {
		if f.from == a && f.to == b || f.from == b && f.to == a {
			f.lost.Store(true)
		}
	}
}

// Passed returns the bytes that went from one host to another.
func (n *Network) Passed(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[[2]string{from, to}]
}

// Refuse ends the newest path to a name, so that new connections are refused; open ones stay.
func (n *Network) Refuse(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.listeners[name].Close()
}

// Set changes the paths between two hosts in both directions.
func (n *Network) Set(a, b string, w Path) {
	n.SetOne(a, b, w)
	n.SetOne(b, a, w)
}

// SetOne changes the path from one host to another.
func (n *Network) SetOne(from, to string, w Path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paths[[2]string{from, to}] = w
	if !w.Cut {
		return
	}
	for f := range n.open {
		if f.from == from && f.to == to || f.from == to && f.to == from {
			f.reset()
		}
	}
}

func (n *Network) connect(dialled *net.TCPConn, to, backend string) {
	remote, _ := netip.ParseAddrPort(dialled.RemoteAddr().String())
	f := &forward{dialled: dialled, from: CallersName, to: to}
	n.mu.Lock()
	if name, ok := n.hosts[remote.Addr()]; ok {
		f.from = name
	}
	n.mu.Unlock()
	far, err := new(net.Dialer).DialContext(context.Background(), "tcp", backend)
	if err != nil || n.path(f.from, f.to).Cut {
		_ = dialled.SetLinger(0)
		_ = dialled.Close()
		return
	}
	f.far = far.(*net.TCPConn)
	n.mu.Lock()
	n.open[f] = true
	n.mu.Unlock()
	// Opening a connection takes one round trip before the first byte.
	trip := n.path(f.from, f.to).Delay + n.path(f.to, f.from).Delay
	var tasks sync.WaitGroup
	tasks.Go(func() { n.pump(f, f.dialled, f.far, f.from, f.to, time.Now().Add(trip)) })
	tasks.Go(func() { n.pump(f, f.far, f.dialled, f.to, f.from, time.Now()) })
	tasks.Wait()
	n.mu.Lock()
	delete(n.open, f)
	n.mu.Unlock()
	_ = f.dialled.Close()
	_ = f.far.Close()
}

func (n *Network) count(from, to string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[[2]string{from, to}] += int64(bytes)
}

// pump carries one direction of a connection; the order of bytes is kept. Bytes that are held back are dropped when their
// sender resets the connection, because they would still be in its send buffer.
func (n *Network) pump(f *forward, in, out *net.TCPConn, from, to string, earliest time.Time) {
	chunks := make(chan chunk, chunksInFlight)
	var reset atomic.Bool
	go n.read(in, from, to, chunks, &reset)
	broken, passed := false, 0
	for c := range chunks {
		if c.due.After(earliest) {
			earliest = c.due
		}
		time.Sleep(time.Until(earliest))
		for !broken && (f.lost.Load() || n.path(from, to).Silent) {
			time.Sleep(silentPoll)
			broken = n.ended.Load() || reset.Load() || wasReset(in)
		}
		passed += len(c.data)
		if limit := n.path(from, to).ResetAfter; limit > 0 && passed > limit && !broken {
			_, _ = out.Write(c.data[:max(0, len(c.data)-(passed-limit))])
			f.reset()
			broken = true
		}
		switch {
		case broken:
		case c.data == nil:
			_ = out.CloseWrite()
		default:
			n.count(from, to, len(c.data))
			if _, err := out.Write(c.data); err != nil {
				broken = true
				// The sender learns of it as from a reset by the other end.
				_ = in.CloseRead()
			}
		}
	}
}

// read passes on what arrives on a connection with the times at which it is due, until its end or its reset.
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

func (n *Network) path(from, to string) Path {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paths[[2]string{from, to}]
}
