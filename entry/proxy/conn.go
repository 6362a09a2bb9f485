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
	"ebonyrouter.dev/core/heads"
)

// maxResponseHeadBytes limits the head of a response.
const maxResponseHeadBytes = 64 << 10

// errHeadTooLarge means that the head of a response exceeds maxResponseHeadBytes.
const errHeadTooLarge = errors.ConstError("response head too large")

// errProtocolSwitched means that the upstream switched protocols, although no request asks for it.
const errProtocolSwitched = errors.ConstError("upstream switched protocols unasked")

// errNoStatus means that the status of a response is below 100, which none can have.
const errNoStatus = errors.ConstError("upstream sent a status below 100")

// maxDiscardedBytes limits how much is read of the response to a request that was given up.
const maxDiscardedBytes = 64 << 10

// maxInformational limits the informational responses of one request that are passed on; the others are dropped.
const maxInformational = 4

// errLeaseExpired means that a write was refused because the lease had expired.
const errLeaseExpired = errors.ConstError("lease expired")

// conn is one HTTP/1.1 connection to a target or a peer; it carries one request at a time.
type conn struct {
	// cancelled means that the exchange was cancelled, so nothing more is read for it.
	cancelled atomic.Bool
	deadline  core.Instant
	// head limits the size of response heads.
	head      *heads.Reader
	idleSince core.Instant
	// keepAlive is the idle timeout announced by the other end, or 0 if it announced none.
	keepAlive time.Duration
	// leaseExpired means that a write was refused. It is recorded here because Request.Write hides the cause of some
	// errors.
	leaseExpired bool
	openedAt     core.Instant
	pool         *pool
	socket       net.Conn
	reader       *bufio.Reader
	// reset means that the connection was reset. The reset may come from the network rather than the target, so it does
	// not prove that the target has stopped the request.
	reset atomic.Bool
	// reused means that the connection has carried a complete exchange before.
	reused bool
	// toTarget means that the other end is a target, whose slot stays occupied until it has stopped the request.
	toTarget        bool
	timer           core.Timer
	attemptDeadline core.Instant
	// validUntil returns the end of the lease that permits the exchange; nil means that none is needed.
	validUntil   func() core.Instant
	writeFailed  bool
	writer       *bufio.Writer
	bytesWritten int64
}

func newConn(socket net.Conn, pool *pool, timer core.Timer) *conn {
	c := &conn{openedAt: timer.Now(), pool: pool, socket: socket, timer: timer}
	c.head = &heads.Reader{Source: c, TooLarge: errHeadTooLarge}
	c.reader = bufio.NewReader(c.head)
	c.writer = bufio.NewWriter(c)
	return c
}

// Read implements io.Reader and records resets.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.socket.Read(data)
	c.recordReset(err)
	return n, err
}

// Write implements io.Writer and checks the lease immediately before each system call.
func (c *conn) Write(data []byte) (int, error) {
	// The wall clock is read first, so a pause between the two readings can only make the write deadline earlier, never
	// later than the end of the lease.
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

// alive reports, without blocking, whether the idle connection is open and has no unexpected data to read.
func (c *conn) alive() bool {
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	open := false
	inspected := inspectSocket(raw, func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN)
	})
	return inspected && open
}

// begin prepares the connection for one exchange. If no response has arrived at attemptDeadline, the connection is
// treated as unresponsive, and an idempotent request is given up.
func (c *conn) begin(deadline, attemptDeadline core.Instant, validUntil func() core.Instant) {
	c.deadline = deadline
	c.attemptDeadline = min(attemptDeadline, deadline)
	c.validUntil = validUntil
	c.toTarget = false
	c.head.Begin(maxResponseHeadBytes)
	c.leaseExpired = false
	c.writeFailed = false
	c.bytesWritten = 0
	c.writer.Reset(c)
}

// cancel gives up the exchange. A connection to a target is closed for writing only, because the target closes its side
// when it has stopped the request; a connection to a peer is closed.
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

// awaitTargetEnd closes the connection for writing, to signal that the request was given up, and waits until the target
// closes its side or the request's deadline has passed at the target. A target that sends more than maxDiscardedBytes
// has its connection reset.
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

// keepAliveMargin is the time before the announced idle timeout from which a connection is no longer used, because the
// other end may be closing it already.
const keepAliveMargin = time.Second

// reusable reports whether the connection has been idle for at most idleLimit and is within the idle timeout of the
// other end.
func (c *conn) reusable(now core.Instant, idleLimit time.Duration) bool {
	if c.keepAlive > 0 {
		idleLimit = min(idleLimit, max(c.keepAlive-keepAliveMargin, c.keepAlive/2))
	}
	return now.Sub(c.idleSince) <= idleLimit
}

// recordKeepAlive stores the idle timeout that the other end announces in its Keep-Alive header.
func (c *conn) recordKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(value)
		if found && err == nil && seconds > 0 {
			c.keepAlive = time.Duration(seconds) * time.Second
		}
	}
}

// mayStillRun reports whether the target may still be running a request that was given up.
func (c *conn) mayStillRun() bool {
	return c.toTarget && c.bytesWritten > 0
}

// recordReset records whether err reports a reset of the connection; later calls fail with other errors.
func (c *conn) recordReset(err error) {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.reset.Store(true)
	}
}

// hasUnreadData reports, without blocking, whether the socket has received bytes that were not read yet.
func (c *conn) hasUnreadData() bool {
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return false
	}
	size := 0
	inspected := inspectSocket(raw, func(fd uintptr) {
		var b [1]byte
		size, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return inspected && size > 0
}

// readHead reads the head of the final response and returns it with the informational responses before it.
func (c *conn) readHead(out *http.Request) (*http.Response, []*http.Response, error) {
	var informational []*http.Response
	for {
		response, err := http.ReadResponse(c.reader, out)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, errProtocolSwitched
		}
		if response.StatusCode < http.StatusContinue {
			// What follows may be of any response, so it is not read. net/http rejects statuses of other than three characters.
			return nil, nil, errNoStatus
		}
		if response.StatusCode >= http.StatusOK {
			c.head.End()
			c.recordKeepAlive(response.Header)
			return response, informational, nil
		}
		if response.StatusCode != http.StatusContinue && len(informational) < maxInformational {
			informational = append(informational, response)
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

func (c *conn) setReadDeadline(instant core.Instant) error {
	err := c.socket.SetReadDeadline(c.wallTime(instant))
	if c.cancelled.Load() {
		return c.socket.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// markTarget marks the connection as one to a target and makes its close discard unacknowledged data, even if the
// process dies. Otherwise, when a network path recovers from an outage, the kernel would deliver a request whose slot
// another request uses by then.
func (c *conn) markTarget() {
	c.toTarget = true
	if raw, ok := c.socket.(interface{ SetLinger(sec int) error }); ok && !c.reused {
		_ = raw.SetLinger(0)
	}
}

// wallTime converts an instant to the wall clock, which socket deadlines use.
func (c *conn) wallTime(instant core.Instant) time.Time {
	return time.Now().Add(instant.Sub(c.timer.Now()))
}

// inspectSocket calls inspect with the file descriptor of a socket and reports whether it could. Unlike a read, it works
// after the read deadline of the last exchange has passed.
func inspectSocket(socket syscall.Conn, inspect func(fd uintptr)) bool {
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	return control.Control(inspect) == nil
}
