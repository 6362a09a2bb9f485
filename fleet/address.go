package fleet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// anyPort asks for a free port.
const anyPort = "0"

// nextHost numbers the loopback addresses that OwnIP has returned.
var nextHost atomic.Uint32

// FreeAddress returns an address with a port that was free a moment ago. Each has a loopback address of its own, because
// a connection that leaves from 127.0.0.1 may take the same port before the process binds it.
func FreeAddress(t T) string {
	t.Helper()
	return FreeAddresses(t, OwnIP(), 1)[0]
}

// FreeAddresses returns addresses on one IP address with ports that were free a moment ago. They are held together for a
// moment, because a port that is released may be chosen again.
func FreeAddresses(t T, ip string, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range count {
		l := listen(t, ip, anyPort)
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	return addresses
}

// OwnIP returns a loopback address that nothing else of the tests uses.
func OwnIP() string {
	n := nextHost.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(64 + os.Getpid()%64), byte(n >> 8), byte(n)}).String()
}

// listen opens a listener on a port of an IP address.
func listen(t T, ip, port string) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", net.JoinHostPort(ip, port))
	check(t, err)
	return l
}
