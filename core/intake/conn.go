package intake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/heads"
	"ebonyrouter.dev/core/memory"
)

const (
	// idleCloseDelay is the time for which a request may still arrive on an idle connection that is about to be closed. A request that
	// is in the socket's buffer is read even if the process gets no processor time for a while.
	idleCloseDelay = 200 * time.Millisecond
	// discardTime is the time for which remaining input is read and discarded after the last response. An earlier close
	// would reset the connection before the caller has read the response.
	discardTime = 500 * time.Millisecond
	// writeTimeout limits one write to a caller that does not read, if the handler sets no deadline.
	writeTimeout = 30 * time.Second
	// minWriteTimeout is the minimum time for a write, even if the deadline passed while the response waited for
	// earlier ones.
	minWriteTimeout = time.Second
)

// maxEmptyLines is the number of empty lines before a request that are ignored.
const maxEmptyLines = 8

const (
	// errHeadTooLarge means that the head of a request exceeds MaxHeaderBytes.
	errHeadTooLarge = errors.ConstError("request head too large")
	// errTooManyEmptyLines means that a request line does not follow after maxEmptyLines empty lines.
	errTooManyEmptyLines = errors.ConstError("too many empty lines before a request")
)

// conn is one connection of a caller.
type conn struct {
	cancel context.CancelFunc
	// closeAnnounced means that the head of the last response was written.
	closeAnnounced bool
	ctx            context.Context //nolint:containedctx // Requests inherit it; it ends with the connection.
	// ended means that the last response is being sent or the connection has failed; no further request is served.
	ended bool
	// writeClosed means that the last response was written and the connection is closed for writing.
	writeClosed bool
	// head limits the size of request heads.
	head *heads.Reader
	// heldBytes is the memory of the responses that are held.
	heldBytes        int64
	lastExchange     *exchange
	mutex            sync.Mutex
	pendingResponses int
	// pipelined means that a request was read before the response to an earlier one had been sent.
	pipelined bool
	// pipelineTokens holds one element for each request that is being served; its capacity limits them.
	pipelineTokens chan struct{}
	socket         net.Conn
	reader         *bufio.Reader
	// readingRequest means that a part of a request has been read that is not in the response queue yet.
	readingRequest bool
	// streaming means that the head of an incomplete response was written. Requests that are read from then on run after it.
	streaming bool
	// closeRequested means that the connection closes after the responses to the requests of which a part has been read.
	closeRequested bool
	server         *Server
	// charged counts the memory of the requests.
	charged charge
	tasks   sync.WaitGroup
	writer  *bufio.Writer
}

func newConn(server *Server, socket net.Conn) *conn {
	c := &conn{pipelineTokens: make(chan struct{}, max(1, server.MaxPipelined)), socket: socket, server: server, writer: bufio.NewWriter(socket)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.head = &heads.Reader{Source: socket, TooLarge: errHeadTooLarge}
	c.reader = bufio.NewReader(c.head)
	c.charged.init(socket, c.evict)
	return c
}

// abort closes the connection immediately and cancels its requests.
func (c *conn) abort(reason string, cause error) {
	c.mutex.Lock()
	pendingResponses, ended := c.pendingResponses, c.ended
	c.ended = true
	c.mutex.Unlock()
	if pendingResponses > 0 && !ended {
		event.CallerBroken.Write(c.server.Log, zap.String("caller", c.socket.RemoteAddr().String()), zap.Int("requests", pendingResponses),
			zap.String("reason", reason), zap.Error(cause))
	}
	c.cancel()
	_ = c.socket.Close()
}

// enqueue appends a request to the response queue, or returns nil if no further request is served.
func (c *conn) enqueue(request *http.Request) *exchange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended || c.closeAnnounced || c.closeRequested && !c.readingRequest {
		return nil
	}
	c.readingRequest = false
	e := newExchange(c, request)
	e.chargedBytes.Store(c.charged.beginServing(c.pendingResponses))
	if c.lastExchange != nil {
		e.previousDone = c.lastExchange.done
	}
	c.lastExchange = e
	c.pipelined = c.pipelined || c.pendingResponses > 0
	c.pendingResponses++
	c.closeRequested = c.closeRequested || request.Close
	return e
}

// announceClose decides, before the head of an incomplete response is written, whether it is the last one of the connection. If
// closeWanted is set, the connection closes after the responses to the requests read so far; if mustClose is set, it closes after
// this one, because the close is the end of its body.
func (c *conn) announceClose(closeWanted, mustClose bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeRequested = c.closeRequested || closeWanted || mustClose
	c.streaming = true
	c.closeAnnounced = mustClose || c.closeRequested && c.pendingResponses == 1 && !c.readingRequest
	return c.closeAnnounced
}

// completeRequest removes a request from the queue and reports whether its response is the last one of the connection.
// closeWanted and mustClose are as for announceClose.
func (c *conn) completeRequest(closeWanted, mustClose bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.charged.endServing(c.pendingResponses)
	c.closeRequested = c.closeRequested || closeWanted
	c.pendingResponses--
	c.streaming = false
	if mustClose || c.closeAnnounced || c.closeRequested && c.pendingResponses == 0 {
		c.ended = true
	}
	return c.ended
}

// idle reports whether no request is in flight.
func (c *conn) idle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pendingResponses == 0
}

// isStreaming reports whether the head of an incomplete response was written. If its target breaks it off, the connection fails, so
// that a request that is read meanwhile must not run yet.
func (c *conn) isStreaming() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.streaming
}

// startStreaming reports whether the head of an incomplete response may be written although the response could be held. It may not
// if the caller has sent a request before the response to an earlier one.
func (c *conn) startStreaming() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.streaming = !c.pipelined
	return c.streaming
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(c.server.IdleTimeout))
	if c.isWriteClosed() {
		_ = c.socket.SetReadDeadline(time.Now().Add(discardTime))
	}
	if c.closesWhileIdle() {
		return ErrClosed
	}
	c.head.Begin(c.server.MaxHeaderBytes)
	_, err := c.reader.Peek(1)
	return err
}

// skipEmptyLines waits for the first byte of the next request and discards empty lines before it, as RFC 9112, section 2.2, recommends.
// The connection is idle meanwhile.
func (c *conn) skipEmptyLines() error {
	for range maxEmptyLines + 1 {
		if err := c.awaitRequest(); err != nil {
			return err
		}
		line, err := c.reader.Peek(1)
		if err == nil && line[0] == '\r' {
			line, err = c.reader.Peek(2)
		}
		if err != nil {
			return err
		}
		if line[len(line)-1] != '\n' {
			return nil
		}
		_, _ = c.reader.Discard(len(line))
	}
	c.beginRequest()
	return errTooManyEmptyLines
}

// readRequest reads the head of the next request.
func (c *conn) readRequest() (*http.Request, error) {
	if err := c.skipEmptyLines(); err != nil {
		return nil, err
	}
	c.beginRequest()
	c.head.Begin(c.server.MaxHeaderBytes - int64(c.reader.Buffered()))
	_ = c.socket.SetReadDeadline(time.Now().Add(c.server.HeaderTimeout))
	if err := c.charged.beginHead(c.reader, c.head); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.reader)
	if refusal := c.head.Refusal(); refusal != nil {
		err = refusal
	}
	c.head.End()
	if err != nil {
		return nil, err
	}
	_ = c.socket.SetReadDeadline(time.Time{})
	request.RemoteAddr = c.socket.RemoteAddr().String()
	return request.WithContext(c.ctx), nil
}

// beginRequest records that a part of a request has been read. A request behind one after whose response the connection
// closes is not served.
func (c *conn) beginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readingRequest = !c.closeRequested || c.pendingResponses == 0
}

// closesWhileIdle reports whether the connection is to be closed and has no request in flight.
func (c *conn) closesWhileIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closeRequested && c.pendingResponses == 0
}

// closeAfterResponses closes the connection after the responses to the requests of which a part has been read. On an idle
// connection it ends the wait for the next request after idleCloseDelay: what is still in transit then is not read, so the caller may
// safely send it again.
func (c *conn) closeAfterResponses() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeRequested = true
	if c.pendingResponses == 0 && !c.readingRequest {
		_ = c.socket.SetReadDeadline(time.Now().Add(idleCloseDelay))
	}
}

// closeIdle closes a connection without requests in flight.
func (c *conn) closeIdle() {
	c.mutex.Lock()
	c.ended = true
	c.mutex.Unlock()
	_ = c.socket.Close()
}

// resetOnClose makes the close of the connection, also by the end of the process, a reset or an ordinary end.
func (c *conn) resetOnClose(reset bool) {
	seconds := -1
	if reset {
		seconds = 0
	}
	if lingering, ok := c.socket.(interface{ SetLinger(sec int) error }); ok {
		_ = lingering.SetLinger(seconds)
	}
}

// closeWrite closes the connection for writing after the last response. Input is still read, for discardTime at most,
// until the caller closes its side.
func (c *conn) closeWrite() {
	c.mutex.Lock()
	c.writeClosed = true
	c.mutex.Unlock()
	if half, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(discardTime))
}

func (c *conn) isWriteClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writeClosed
}

// isEnded reports whether no further request is served.
func (c *conn) isEnded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ended
}

// serve reads and serves requests until the connection ends.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer func() { _ = c.socket.Close() }()
	for {
		request, err := c.readRequest()
		if err != nil {
			c.handleReadError(err)
			break
		}
		if !c.dispatch(request) {
			break
		}
	}
	c.tasks.Wait()
	c.charged.account.Close()
	c.cancel()
	if c.isEnded() {
		_ = c.socket.SetReadDeadline(time.Now().Add(discardTime))
		c.head.End()
		_, _ = io.Copy(io.Discard, c.reader)
	}
}

// dispatch serves a request and reports whether another one may follow on the connection.
func (c *conn) dispatch(request *http.Request) bool {
	select {
	case c.pipelineTokens <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}
	e := c.enqueue(request)
	if e == nil {
		return false
	}
	if c.server.Idempotent == nil || !c.server.Idempotent(request) || c.isStreaming() {
		e.awaitTurn()
	}
	if c.ctx.Err() != nil || c.isEnded() {
		close(e.done)
		return false
	}
	if !c.chargeBody(e) || !e.readBody(c.server.MaxBufferedBodyBytes) {
		return false
	}
	if !e.streamed && !e.chargeTrailer() {
		return e.refuseExhausted()
	}
	c.tasks.Go(func() {
		defer func() { <-c.pipelineTokens }()
		e.run()
		e.release()
	})
	return !e.streamed || c.awaitBody(e)
}

// awaitBody waits until a streamed body was read or its request has ended, and reports whether another request may follow. While the
// request continues without needing its connection, the end of the connection must be noticed.
func (c *conn) awaitBody(e *exchange) bool {
	defer c.charged.endBody()
	select {
	case <-e.bodyEnd:
		return !c.isEnded()
	case <-e.done:
		return e.discardBody() && !c.isEnded()
	}
}

// handleReadError ends the connection after a failure to read a request head. It sends an error response to a malformed
// request and cancels the requests of a caller that has disconnected.
func (c *conn) handleReadError(cause error) {
	c.charged.release(c.charged.takeHead())
	var timeout net.Error
	switch {
	case c.isEnded():
	case errors.Is(cause, ErrClosed):
		c.closeIdle()
	case errors.Is(cause, memory.ErrExhausted):
		c.reject(http.StatusServiceUnavailable, cause)
	case errors.Is(cause, errHeadTooLarge), errors.Is(cause, memory.ErrTooManyLines):
		c.reject(http.StatusRequestHeaderFieldsTooLarge, cause)
	case errors.As(cause, &timeout) && timeout.Timeout():
		if c.idle() {
			c.closeIdle()
		}
	case errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF), errors.As(cause, new(*net.OpError)):
		c.abort("the caller closed the connection", cause)
	default:
		c.reject(http.StatusBadRequest, cause)
	}
}

// reject sends an error response to a malformed head and closes the connection, because no request can be read after it.
func (c *conn) reject(status int, cause error) {
	e := c.enqueue(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1})
	if e == nil {
		return
	}
	e.refuse(status, cause)
}
