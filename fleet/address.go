package fleet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// anyPort lets the operating system choose a free port.
const anyPort = "0"

// lastLoopback is the number of the loopback IP address that NewLoopbackIP returned last.
var lastLoopback atomic.Uint32

// FreeAddress returns an unused TCP address on a new loopback IP address. The new IP address keeps the port free until the
// process listens on it, although the port is not reserved: on 127.0.0.1 an outgoing connection could take it.
func FreeAddress(t T) string {
	t.Helper()
	return FreeAddresses(t, NewLoopbackIP(), 1)[0]
}

// FreeAddresses returns count unused TCP addresses on one IP address. The ports are not reserved. It keeps a listener open
// on each port until all are chosen, because a released port may be chosen again.
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

// NewLoopbackIP returns a loopback IP address that it has not returned before in this test process.
func NewLoopbackIP() string {
	n := lastLoopback.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(64 + os.Getpid()%64), byte(n >> 8), byte(n)}).String()
}

// listen opens a TCP listener and ends the test if that fails.
func listen(t T, ip, port string) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", net.JoinHostPort(ip, port))
	check(t, err)
	return l
}
