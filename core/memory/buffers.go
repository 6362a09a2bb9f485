package memory

import (
	"net"
	"sync"
	"syscall"
)

const (
	// minSocketBytes is the smallest buffer of a socket. An ordinary request head fits in it.
	minSocketBytes = 4 << 10
	// maxSocketBytes is the largest one. It carries 256 Mbit/s at a round trip of 16 ms, more than any host's link, if the kernel's
	// own limits for sockets permit it.
	maxSocketBytes = 512 << 10
	// backlogBytes is the receive buffer of a connection that waits to be accepted. What a sender sends in the first round trip, 14.6 KB,
	// fits in it.
	backlogBytes = 16 << 10
	// minShares is the smallest number of parts into which the bytes of all sockets are divided.
	minShares = 16
)

// sockets divides a number of bytes among the buffers of all sockets that clients have opened, so that their sum is bounded however many
// there are. What the kernel has received but the process has not read yet counts as memory of the host; without a limit, the kernel grows
// each buffer to some MB.
type sockets struct {
	conns map[*Conn]struct{}
	mutex sync.Mutex
	// shares is the number of parts, which is at least the number of connections. It doubles and halves, so that all buffers are
	// resized only then.
	shares int64
	total  int64
}

func newSockets(total int64) *sockets {
	return &sockets{conns: map[*Conn]struct{}{}, shares: minShares, total: total}
}

// add limits the buffers of a new connection, and those of all others if there is less for each now.
func (s *sockets) add(c *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conns[c] = struct{}{}
	if int64(len(s.conns)) > s.shares {
		s.divide(2 * s.shares)
		return
	}
	c.limitBuffers(s.size())
}

// divide changes the number of parts.
func (s *sockets) divide(shares int64) {
	s.shares = shares
	for c := range s.conns {
		c.limitBuffers(s.size())
	}
}

func (s *sockets) remove(c *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
	if s.shares > minShares && int64(len(s.conns)) < s.shares/4 {
		s.divide(s.shares / 2)
	}
}

// size returns the bytes of a buffer in one direction. The kernel doubles what it is asked for, for its own overhead.
func (s *sockets) size() int {
	return int(min(max(s.total/s.shares, minSocketBytes), maxSocketBytes))
}

// limitBuffers limits what the kernel holds for a connection in each direction.
func (c *Conn) limitBuffers(size int) {
	socket, ok := c.Conn.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if ok {
		_ = socket.SetReadBuffer(size)
		_ = socket.SetWriteBuffer(size)
	}
}

// limitBacklog gives connections a small receive buffer until they are accepted, because those that wait to be accepted hold bytes as well:
// with buffers of the usual size, the backlog of 4,096 connections holds 256 MB.
func limitBacklog(listener net.Listener) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, backlogBytes)
		})
	}
}
