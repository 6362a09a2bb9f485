package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// maxResponseHeadBytes bounds the head of a response, in bytes.
const maxResponseHeadBytes = 1 << 20

// errHeadTooLarge means that the head of a response exceeds headBytes.
const errHeadTooLarge = errors.ConstError("response head too large")

// errProtocolSwitched means that the upstream changed the protocol, which no request asks for.
const errProtocolSwitched = errors.ConstError("upstream switched protocols unasked")

// maxDiscardedBytes bounds what is read of the response to a request that was given up.
const maxDiscardedBytes = 64 << 10

// maxInformational is the number of informational responses that are passed on; more are dropped.
const maxInformational = 4

// errLeaseExpired means that a write was refused because the lease had ended.
const errLeaseExpired = errors.ConstError("lease ended")

// conn is one HTTP/1.1 connection to a target or a peer; it carries one request at a time.
type conn struct {
	// cancelled means that the exchange was given up by its caller, so that nothing more is read for it.
	cancelled atomic.Bool
	deadline  core.Instant
	// headRemaining is the number of bytes that a response head may still take, or negative while a body is read.
	headRemaining int64
	idleSince     core.Instant
	// keepAlive is the time for which the other end keeps an idle connection, or 0 if it does not say.
	keepAlive time.Duration
	// leaseExpired means that a write was refused; Request.Write hides the reason of some errors.
	leaseExpired bool
	openedAt     core.Instant
	pool         *pool
	socket       net.Conn
	reader       *bufio.Reader
	// reset means that the connection was reset, which the network does as well as a target, so that it does not show that the
	// target has stopped.
	reset atomic.Bool
	// reused means that the connection carried a complete exchange before.
	reused bool
	// toTarget means that the exchange is with a toTarget, whose slot is held until it has stopped the work.
	toTarget        bool
	timer           core.Timer
	attemptDeadline core.Instant
	validUntil      func() core.Instant
	writeFailed     bool
	writer          *bufio.Writer
	bytesWritten    int64
}

func newConn(raw net.Conn, pool *pool, timer core.Timer) *conn {
	c := &conn{openedAt: timer.Now(), pool: pool, socket: raw, timer: timer}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(c)
	return c
}

// Read implements io.Reader.Read; it bounds the head of a response.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.socket.Read(data)
	c.recordReset(err)
	if c.headRemaining < 0 {
		return n, err
	}
	c.headRemaining -= int64(n)
	if c.headRemaining < 0 {
		return 0, errHeadTooLarge
	}
	return n, err
}

// Write implements io.Writer.Write; it checks the lease immediately before each system call.
func (c *conn) Write(data []byte) (int, error) {
	// A pause between the two readings makes the deadline earlier, never later than the end of the lease.
	wall := time.Now()
	end, now := c.deadline, c.timer.Now()
	if c.validUntil != nil {
		valid := c.validUntil()
		if !now.Before(valid) {
			c.leaseExpired = true
			return 0, errLeaseExpired
		}
		end = min(end, valid)
	}
	err := c.socket.SetWriteDeadline(wall.Add(end.Sub(now)))
	if err != nil {
		return 0, err
	}
	n, err := c.socket.Write(data)
	c.recordReset(err)
	c.bytesWritten += int64(n)
	c.writeFailed = err != nil
	return n, err
}

// alive reports whether the idle connection is still open and silent, without waiting.
func (c *conn) alive() bool {
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	open := false
	looked := inspectSocket(raw, func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN)
	})
	return looked && open
}

// begin prepares the connection for one exchange; an unanswered request is given up or noticed at tryEnd.
func (c *conn) begin(deadline, tryEnd core.Instant, validUntil func() core.Instant) {
	c.deadline = deadline
	c.attemptDeadline = min(tryEnd, deadline)
	c.validUntil = validUntil
	c.toTarget = false
	c.headRemaining = maxResponseHeadBytes
	c.leaseExpired = false
	c.writeFailed = false
	c.bytesWritten = 0
	c.writer.Reset(c)
}

// cancel gives up the exchange. The connection to a target stays half open, because its end shows that the target has
// stopped the work; one to a peer is closed.
func (c *conn) cancel() {
	if !c.toTarget {
		_ = c.socket.Close()
		return
	}
	c.cancelled.Store(true)
	c.closeWrite()
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) closeWrite() {
	if half, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// awaitTargetEnd tells the target that the request was given up and returns when the target has closed the connection, or when
// it must have ended the request by its deadline. A target that sends much more has its connection reset.
func (c *conn) awaitTargetEnd() {
	end := c.deadline.Add(core.ClockDriftMargin)
	c.closeWrite()
	_ = c.socket.SetReadDeadline(c.wallTime(end))
	_, err := io.CopyN(io.Discard, c.socket, maxDiscardedBytes)
	c.recordReset(err)
	c.pool.close(c)
	if c.reset.Load() {
		<-c.timer.After(end.Sub(c.timer.Now()))
	}
}

// keepAliveMargin is the time before the end of keepFor at which a connection is not used any more, because its end may be on
// its way.
const keepAliveMargin = time.Second

// reusable reports whether the idle connection may be used: it has been idle for idleLimit at most, and the other end still
// keeps it.
func (c *conn) reusable(now core.Instant, idleLimit time.Duration) bool {
	if c.keepAlive > 0 {
		idleLimit = min(idleLimit, max(c.keepAlive-keepAliveMargin, c.keepAlive/2))
	}
	return now.Sub(c.idleSince) <= idleLimit
}

// recordKeepAlive takes over for how long the other end says that it keeps the connection.
func (c *conn) recordKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(value)
		if found && err == nil && seconds > 0 {
			c.keepAlive = time.Duration(seconds) * time.Second
		}
	}
}

// mayStillRun reports whether the target may still work on a request that was given up.
func (c *conn) mayStillRun() bool {
	return c.toTarget && c.bytesWritten > 0
}

// recordReset remembers whether the connection was reset; later calls return other errors.
func (c *conn) recordReset(err error) {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.reset.Store(true)
	}
}

// hasUnreadData reports whether bytes have arrived that are not read yet, without waiting.
func (c *conn) hasUnreadData() bool {
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return false
	}
	size := 0
	looked := inspectSocket(raw, func(fd uintptr) {
		var b [1]byte
		size, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return looked && size > 0
}

// readHead reads the final response head; informational responses before it are returned as well.
func (c *conn) readHead(out *http.Request) (*http.Response, []*http.Response, error) {
	var early []*http.Response
	for {
		response, err := http.ReadResponse(c.reader, out)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, errProtocolSwitched
		}
		if response.StatusCode >= http.StatusOK {
			c.headRemaining = -1
			c.recordKeepAlive(response.Header)
			return response, early, nil
		}
		if response.StatusCode != http.StatusContinue && len(early) < maxInformational {
			early = append(early, response)
		}
	}
}

// send writes the whole request.
func (c *conn) send(out *http.Request) error {
	err := out.Write(c.writer)
	if err != nil {
		return err
	}
	return c.writer.Flush()
}

func (c *conn) setReadDeadline(at core.Instant) error {
	err := c.socket.SetReadDeadline(c.wallTime(at))
	if c.cancelled.Load() {
		return c.socket.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// markTarget marks the connection as one to a target. Closing it discards what was not acknowledged, also when the process
// dies: over a network path that is silent for a while, the kernel would send it once the slot is used by another request.
func (c *conn) markTarget() {
	c.toTarget = true
	if raw, ok := c.socket.(interface{ SetLinger(sec int) error }); ok && !c.reused {
		_ = raw.SetLinger(0)
	}
}

// wallTime converts an instant to the clock that sockets use.
func (c *conn) wallTime(at core.Instant) time.Time {
	return time.Now().Add(at.Sub(c.timer.Now()))
}

// inspectSocket calls inspect with the file descriptor of a socket and reports whether that was possible. Unlike a read, it does
// not fail when the read deadline of the last exchange has passed.
func inspectSocket(socket syscall.Conn, inspect func(fd uintptr)) bool {
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	return control.Control(inspect) == nil
}
