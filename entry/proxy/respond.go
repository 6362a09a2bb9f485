package proxy

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
)

// copyBufferBytes is the size of the buffer with which one response is streamed.
const copyBufferBytes = 32 << 10

// serverBufferBytes is the size up to which net/http's server buffers a whole response. Writing a response of this size
// does not wait for the caller.
const serverBufferBytes = 2048

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// boundWrites sets a write deadline, so that a caller that does not read its response cannot occupy a slot indefinitely.
// The returned function removes it.
func (p *Proxy) boundWrites(req *request) func() {
	controller := http.NewResponseController(req.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(req.deadline.Sub(p.Timer.Now()) + responseGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// respond streams the response to the caller. If the response is truncated, it aborts the caller's connection.
func (p *Proxy) respond(req *request, result *attemptResult, record *recorder) {
	complete := false
	defer func() { result.finish(complete, false) }()
	response := result.response
	writeInformational(req.writer, result.informational)
	header := req.writer.Header()
	removeHopByHop(response.Header)
	removeInternal(response.Header)
	maps.Copy(header, response.Header)
	if _, found := response.Header["Content-Type"]; !found {
		// A nil value keeps the server from detecting a content type.
		header["Content-Type"] = nil
	}
	p.setResponseHeaders(req, header, result.code, req.reportableRan(result.ran))
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	if response.ContentLength < 0 || response.ContentLength > serverBufferBytes {
		defer p.boundWrites(req)()
	}
	req.writer.WriteHeader(response.StatusCode)
	readErr, writeErr := copyBody(req, result, record)
	switch {
	case readErr != nil && req.incoming.Context().Err() != nil:
		req.code = codes.CallerGone
		result.finish(false, false)
		panic(http.ErrAbortHandler)
	case readErr != nil:
		req.code = codes.UpstreamTruncated
		event.RequestTruncated.Write(p.Log, zap.String("request_id", req.id), zap.String("service", req.service), zap.Error(readErr))
		result.finish(false, true)
		if replaceable(req, record) {
			p.writeError(req, mayHaveRun(codes.UpstreamTruncated, http.StatusBadGateway, "the response ended early: "+readErr.Error()))
			return
		}
		panic(http.ErrAbortHandler)
	case writeErr != nil:
		req.code = codes.CallerGone
	default:
		complete = true
		result.finish(true, result.ran == core.RanYes && response.StatusCode >= http.StatusInternalServerError)
		writeTrailer(header, response)
	}
}

// replaceable discards a truncated response of which nothing was sent, and reports whether an error response can replace it. Other
// responses of the caller's connection are then not lost with it.
func replaceable(req *request, record *recorder) bool {
	held, ok := req.writer.(core.HeldResponse)
	return ok && record == nil && held.Discard()
}

// extendForTurn extends the read deadline by the time for which the response has waited for earlier ones of the caller's connection.
// The upstream has no part in this wait: what it has sent may still be in the socket's buffer.
func extendForTurn(req *request, result *attemptResult) {
	held, ok := req.writer.(core.HeldResponse)
	if !ok || held.WaitedForTurn() <= result.waited {
		return
	}
	result.waited = held.WaitedForTurn()
	_ = result.conn.setReadDeadline(req.deadline.Add(result.waited))
}

// copyBody streams the body and returns the upstream's read error and the caller's write error.
func copyBody(req *request, result *attemptResult, record *recorder) (error, error) {
	response := result.response
	buffer, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flush := response.ContentLength < 0
	var writeErr error
	for {
		extendForTurn(req, result)
		n, readErr := response.Body.Read(*buffer)
		record.write((*buffer)[:n])
		if n > 0 && writeErr == nil {
			_, writeErr = req.writer.Write((*buffer)[:n])
			if flush && writeErr == nil {
				writeErr = http.NewResponseController(req.writer).Flush()
			}
		}
		if readErr == io.EOF {
			return nil, writeErr
		}
		if readErr != nil {
			return readErr, writeErr
		}
		if writeErr != nil && !record.needsFullBody() {
			return nil, writeErr
		}
	}
}

// writeInformational sends informational responses to the caller.
func writeInformational(w http.ResponseWriter, informational []*http.Response) {
	for _, response := range informational {
		removeHopByHop(response.Header)
		maps.Copy(w.Header(), response.Header)
		w.WriteHeader(response.StatusCode)
		clear(w.Header())
	}
}

// writeTrailer sets the trailers, whose values are known only after the body.
func writeTrailer(header http.Header, response *http.Response) {
	announced := strings.Join(header["Trailer"], ",")
	for name, values := range response.Trailer {
		if !strings.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
}
