package fleet

import (
	"net"
	"sync/atomic"
	"syscall"
)

// forwardedConn is a connection that the network forwards from a client to a backend.
type forwardedConn struct {
	client, backend *net.TCPConn
	// from and to are the names of the dialling and of the dialled endpoint of the network.
	from, to string
	// unresponsive connections forward no more data and stay open, as when a middlebox has lost its connection state.
	unresponsive atomic.Bool
}

// reset resets the connections to both ends.
func (c *forwardedConn) reset() {
	for _, s := range []*net.TCPConn{c.client, c.backend} {
		_ = s.SetLinger(0)
		_ = s.Close()
	}
}

// wasReset reports whether the peer has reset a connection. It reads the error of the socket, because reads do not report a
// reset after the end of the stream.
func wasReset(s *net.TCPConn) bool {
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	wasReset := false
	err = raw.Control(func(fd uintptr) {
		socketError, getErr := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		wasReset = socketError != 0 || getErr != nil
	})
	return wasReset || err != nil
}
