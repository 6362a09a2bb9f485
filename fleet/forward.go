package fleet

import (
	"net"
	"sync/atomic"
	"syscall"
)

// forward is one connection through the network.
type forward struct {
	dialled, far *net.TCPConn
	from, to     string
	// lost connections stay silent for good, as when a middlebox has lost its entry.
	lost atomic.Bool
}

// reset ends the connection for both ends at once.
func (f *forward) reset() {
	for _, s := range []*net.TCPConn{f.dialled, f.far} {
		_ = s.SetLinger(0)
		_ = s.Close()
	}
}

// wasReset reports whether the sender has reset a connection, which reads do not show once they have reached its end.
func wasReset(s *net.TCPConn) bool {
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		fault, getErr := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		reset = fault != 0 || getErr != nil
	})
	return reset || err != nil
}
