package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

// maxBufferedBytes is the size up to which a response is buffered before its head is sent, if no request was pipelined on its
// connection, and the size up to which the rest of a request body is discarded.
const maxBufferedBytes = 64 << 10

var (
	_ core.HeldResponse   = (*exchange)(nil)
	_ http.Flusher        = (*exchange)(nil)
	_ http.ResponseWriter = (*exchange)(nil)
)

// exchange is one request and its response; it implements http.ResponseWriter.
type exchange struct {
	// body is the response body that has not been written to the connection, and bodySent counts the bytes written.
	body    held
	chunked bool
	conn    *conn
	// bodyEnd is closed when a streamed request body was read to its end.
	bodyEnd       chan struct{}
	writeDeadline time.Time
	// done is closed when the response has been sent or abandoned.
	done     chan struct{}
	writeErr error
	header   http.Header
	// contentLength is the announced length of the body, or -1.
	contentLength int64
	request       *http.Request
	bodySent      int64
	// finishing means that the response is complete, so that it is known whether it is the last one.
	finishing bool
	// headWritten means that the response head was written to the connection.
	headWritten bool
	// chargedBytes is what the request is charged to the connection's account.
	chargedBytes atomic.Int64
	status       int
	// streamed means that the handler reads the request body from the connection.
	streamed bool
	// previousDone is closed when the previous response has been sent; it is nil for the first response of a connection.
	previousDone chan struct{}
	// waited is the time for which calls of the handler have blocked until earlier responses were sent.
	waited time.Duration
}

func newExchange(c *conn, request *http.Request) *exchange {
	return &exchange{body: held{conn: c}, conn: c, done: make(chan struct{}), header: http.Header{}, contentLength: -1, request: request}
}

// EnableFullDuplex is called by http.ResponseController. It does nothing, because reading the request and writing the
// response are always independent.
func (e *exchange) EnableFullDuplex() error { return nil }

// Discard implements core.HeldResponse.Discard.
func (e *exchange) Discard() bool {
	if e.headWritten {
		return false
	}
	clear(e.header)
	e.body.clear()
	e.contentLength, e.status = -1, 0
	return true
}

// WaitedForTurn implements core.HeldResponse.WaitedForTurn.
func (e *exchange) WaitedForTurn() time.Duration { return e.waited }

// Flush implements http.Flusher.
func (e *exchange) Flush() { _ = e.FlushError() }

// FlushError is called by http.ResponseController. It sends the buffered data, unless the response is held: then the data is sent as
// soon as the response is written.
func (e *exchange) FlushError() error {
	if e.status == 0 {
		e.WriteHeader(http.StatusOK)
	}
	if !e.headWritten && !e.mayStart() {
		return e.writeErr
	}
	e.writeBuffered()
	if e.writeErr == nil {
		e.writeErr = e.conn.writer.Flush()
	}
	return e.writeErr
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// SetReadDeadline is called by http.ResponseController. It applies only to a streamed body.
func (e *exchange) SetReadDeadline(deadline time.Time) error {
	if !e.streamed || e.bodyRead() {
		return nil
	}
	return e.conn.socket.SetReadDeadline(deadline)
}

// SetWriteDeadline is called by http.ResponseController. It applies once the earlier responses have been sent.
func (e *exchange) SetWriteDeadline(deadline time.Time) error {
	e.writeDeadline = deadline
	return nil
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(data []byte) (int, error) {
	if e.status == 0 {
		e.WriteHeader(http.StatusOK)
	}
	if e.writeErr != nil {
		return 0, e.writeErr
	}
	remaining := int64(-1)
	if e.contentLength >= 0 {
		remaining = e.contentLength - e.bodySent - int64(e.body.size)
		if int64(len(data)) > remaining {
			return 0, http.ErrContentLength
		}
	}
	if !e.hasBody() {
		return len(data), nil
	}
	switch {
	case e.headWritten || !e.body.add(data, remaining):
		e.writeBuffered()
		e.writeParts([][]byte{data}, len(data))
	case e.body.size > maxBufferedBytes && e.mayStart():
		e.writeBuffered()
	}
	return len(data), e.writeErr
}

// mayStart reports whether the response may be sent before it is complete. On a connection with pipelined requests it is held until it
// is complete or MaxHeldBytes is reached: if its target breaks it off, an error response replaces it, and the connection with the
// responses behind it stays open.
func (e *exchange) mayStart() bool {
	if e.previousDone != nil {
		select {
		case <-e.previousDone:
		default:
			return false
		}
	}
	return e.conn.startStreaming()
}

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	switch {
	case e.status != 0:
		return
	case status >= http.StatusContinue && status < http.StatusOK:
		e.awaitTurnInHandler()
		if e.conn.isEnded() {
			return
		}
		e.writeHead(status)
		_ = e.conn.writer.Flush()
		return
	}
	e.status = status
	if text := e.header.Get("Content-Length"); text != "" {
		length, err := strconv.ParseInt(text, 10, 64)
		if err != nil || length < 0 {
			e.header.Del("Content-Length")
			return
		}
		e.contentLength = length
	}
}

// awaitTurn blocks until the previous response has been sent.
func (e *exchange) awaitTurn() {
	if e.previousDone != nil {
		<-e.previousDone
	}
}

// awaitTurnInHandler is awaitTurn for calls of the handler. It adds the time to waited.
func (e *exchange) awaitTurnInHandler() {
	start := time.Now()
	e.awaitTurn()
	e.waited += time.Since(start)
}

// discardBody reports whether a streamed body was read to its end, so that another request can follow. It first
// discards an unread remainder of less than maxBufferedBytes.
func (e *exchange) discardBody() bool {
	if e.bodyRead() {
		return true
	}
	n, err := io.CopyN(io.Discard, e.request.Body, maxBufferedBytes)
	return errors.Is(err, io.EOF) && n < maxBufferedBytes
}

// finish sends the rest of the response and lets the next response be sent.
func (e *exchange) finish() {
	defer close(e.done)
	defer e.body.clear()
	if e.status == 0 {
		e.WriteHeader(http.StatusOK)
	}
	e.setContentLength()
	e.awaitTurn()
	if e.conn.isEnded() {
		// The connection failed, or an earlier response was its last one: the caller sends the request again.
		e.conn.completeRequest(false, false)
		return
	}
	e.finishing = true
	incomplete := e.contentLength >= 0 && e.hasBody() && e.bodySent+int64(e.body.size) < e.contentLength
	last := e.conn.completeRequest(e.wantsClose() || incomplete || e.streamed && !e.bodyRead(), e.endsWithClose())
	if !e.headWritten {
		e.setConnection(last)
	}
	e.writeRest()
	switch {
	case e.writeErr != nil || incomplete:
		e.conn.abort("the response could not be completed", e.writeErr)
	case last:
		if e.endsWithClose() {
			e.conn.resetOnClose(false)
		}
		e.conn.closeWrite()
		// Requests behind the last response are given up.
		e.conn.cancel()
	}
}

// writeRest sends what is left of the response.
func (e *exchange) writeRest() {
	e.writeBuffered()
	if e.chunked && e.writeErr == nil {
		e.writeTrailer()
	}
	if e.writeErr == nil {
		e.writeErr = e.conn.writer.Flush()
	}
}

// setConnection announces in the head whether the connection closes after the response.
func (e *exchange) setConnection(last bool) {
	e.header.Del("Connection")
	if last {
		e.header.Set("Connection", "close")
	}
}

// endsWithClose reports whether the end of the connection is the end of the body.
func (e *exchange) endsWithClose() bool {
	return e.contentLength < 0 && e.hasBody() && !e.request.ProtoAtLeast(1, 1)
}

// setContentLength sets Content-Length for a response that is complete before its head is written.
func (e *exchange) setContentLength() {
	if e.headWritten || e.contentLength >= 0 || !e.hasBody() || len(e.trailers()) > 0 {
		return
	}
	e.contentLength = int64(e.body.size)
	e.header.Set("Content-Length", strconv.Itoa(e.body.size))
}

// hasBody reports whether the response may have a body.
func (e *exchange) hasBody() bool {
	return e.request.Method != http.MethodHead && e.status != http.StatusNoContent && e.status != http.StatusNotModified
}

// writeBuffered writes the head, unless it is written already, and the buffered part of the body.
func (e *exchange) writeBuffered() {
	e.awaitTurnInHandler()
	if !e.finishing && e.conn.isEnded() {
		e.writeErr = net.ErrClosed
	}
	if e.writeErr != nil {
		return
	}
	_ = e.conn.socket.SetWriteDeadline(e.nextWriteDeadline(time.Now()))
	if !e.headWritten {
		if !e.finishing {
			e.setConnection(e.conn.announceClose(e.wantsClose(), e.endsWithClose()))
		}
		if !e.finishing && e.endsWithClose() {
			// An ordinary end before the response is complete would look like its end.
			e.conn.resetOnClose(true)
		}
		e.headWritten = true
		e.chunked = e.contentLength < 0 && e.hasBody() && e.request.ProtoAtLeast(1, 1)
		e.writeHead(e.status)
	}
	e.writeParts(e.body.parts, e.body.size)
	e.body.clear()
}

// writeParts writes a part of the body, which has size bytes, behind the head.
func (e *exchange) writeParts(parts [][]byte, size int) {
	if size == 0 || e.writeErr != nil {
		return
	}
	w := e.conn.writer
	e.bodySent += int64(size)
	if e.chunked {
		_, _ = fmt.Fprintf(w, "%x\r\n", size)
	}
	for _, part := range parts {
		if !e.writeDeadline.IsZero() {
			// A deadline that has passed during the wait leaves minWriteTimeout for each part, not for a body of a megabyte.
			_ = e.conn.socket.SetWriteDeadline(e.nextWriteDeadline(time.Now()))
		}
		if e.writeErr == nil {
			_, e.writeErr = w.Write(part)
		}
	}
	if e.chunked && e.writeErr == nil {
		_, e.writeErr = w.WriteString("\r\n")
	}
}

// readBody reads a body of less than limit bytes into memory and leaves a larger one to be streamed. It returns false if
// the connection failed.
func (e *exchange) readBody(limit int64) bool {
	r := e.request
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return true
	}
	e.conn.charged.beginBody()
	defer func() {
		if !e.streamed {
			e.conn.charged.endBody()
		}
	}()
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		e.awaitTurn()
		if e.conn.isEnded() {
			close(e.done)
			return false
		}
		_, _ = e.conn.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		if err := e.conn.writer.Flush(); err != nil {
			e.conn.abort("the caller does not read", err)
			return false
		}
	}
	if r.ContentLength > limit {
		e.stream(r.Body)
		return true
	}
	_ = e.conn.socket.SetReadDeadline(time.Now().Add(e.conn.server.IdleTimeout))
	var buffered bytes.Buffer
	if r.ContentLength > 0 {
		// The exact size avoids buffers that are twice as large as the body.
		buffered.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := io.CopyN(&buffered, r.Body, limit)
	_ = e.conn.socket.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		e.stream(readCloser{io.MultiReader(&buffered, r.Body), r.Body})
		return true
	case errors.Is(err, io.EOF):
		r.Body = io.NopCloser(&buffered)
		return true
	default:
		e.conn.abort("the body could not be read", err)
		return false
	}
}

// stream leaves a body to the handler, which reads it from the connection.
func (e *exchange) stream(body io.ReadCloser) {
	e.streamed, e.bodyEnd = true, make(chan struct{})
	e.request.Body = &trackedBody{ReadCloser: body, exchange: e}
}

// bodyRead reports whether a streamed body was read to its end.
func (e *exchange) bodyRead() bool {
	select {
	case <-e.bodyEnd:
		return true
	default:
		return false
	}
}

// run calls the handler and completes the response; if the handler panics, it aborts the connection.
func (e *exchange) run() {
	defer func() {
		cause := recover()
		if cause == nil {
			e.finish()
			return
		}
		if cause != http.ErrAbortHandler { //nolint:errorlint // The value itself is the signal.
			event.HandlerPanicked.Write(e.conn.server.Log, zap.Any("panic", cause), zap.Stack("stack"))
		}
		e.awaitTurn()
		if !e.conn.isEnded() {
			e.conn.abort("the handler gave the response up", nil)
		}
		e.body.clear()
		close(e.done)
	}()
	e.conn.server.Handler.ServeHTTP(e, e.request)
}

// wantsClose reports whether the caller or the handler requires the connection to close after the response.
func (e *exchange) wantsClose() bool {
	return e.request.Close || hasToken(e.header["Connection"], "close")
}

// nextWriteDeadline returns the deadline of a write that begins now. Time spent waiting for earlier responses does not
// use up the handler's write deadline: at least minWriteTimeout remains.
func (e *exchange) nextWriteDeadline(now time.Time) time.Time {
	if e.writeDeadline.IsZero() {
		return now.Add(writeTimeout)
	}
	if earliest := now.Add(minWriteTimeout); e.writeDeadline.Before(earliest) {
		return earliest
	}
	return e.writeDeadline
}

// writeHead writes the status line and the headers.
func (e *exchange) writeHead(status int) {
	w := e.conn.writer
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	if status >= http.StatusOK {
		if _, found := e.header["Date"]; !found {
			e.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
		}
		e.header.Del("Transfer-Encoding")
		if e.chunked {
			e.header.Set("Transfer-Encoding", "chunked")
		}
	}
	if err := e.header.WriteSubset(w, e.trailers()); err != nil {
		e.writeErr = err
		return
	}
	_, e.writeErr = w.WriteString("\r\n")
}

// trailers returns the names of the headers that are sent after the body.
func (e *exchange) trailers() map[string]bool {
	names := map[string]bool{}
	for _, line := range e.header["Trailer"] {
		for name := range strings.SplitSeq(line, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name := range e.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			names[name] = true
		}
	}
	return names
}

// writeTrailer writes the last chunk and the trailers of a chunked body.
func (e *exchange) writeTrailer() {
	trailer := http.Header{}
	for name := range e.trailers() {
		if values, found := e.header[name]; found {
			trailer[strings.TrimPrefix(name, http.TrailerPrefix)] = values
		}
	}
	w := e.conn.writer
	if _, e.writeErr = w.WriteString("0\r\n"); e.writeErr != nil {
		return
	}
	if e.writeErr = trailer.Write(w); e.writeErr != nil {
		return
	}
	_, e.writeErr = w.WriteString("\r\n")
}

// hasToken reports whether comma-separated header lines contain a token.
func hasToken(lines []string, token string) bool {
	for _, line := range lines {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}
