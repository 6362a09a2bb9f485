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

// copyBytes is the memory that one response takes while it is streamed.
const copyBytes = 32 << 10

// unguardedBytes is the size up to which net/http's server buffers a whole response, so that writing it to the
// server does not wait for the caller.
const unguardedBytes = 2048

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// guardWrites bounds the time for which a caller that does not read can hold a slot.
func (p *Proxy) guardWrites(rq *request) func() {
	controller := http.NewResponseController(rq.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(rq.deadline.Sub(p.Timer.Now()) + answerGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// respond streams the response to the caller; a response that ends early closes the caller's connection.
func (p *Proxy) respond(rq *request, rp *reply, record *recorder) {
	complete := false
	defer func() { rp.done(complete, false) }()
	response := rp.response
	writeEarly(rq.writer, rp.early)
	header := rq.writer.Header()
	removeHopByHop(response.Header)
	removeInternal(response.Header)
	maps.Copy(header, response.Header)
	if _, found := response.Header["Content-Type"]; !found {
		// A nil value keeps the server from guessing one.
		header["Content-Type"] = nil
	}
	p.mark(rq, header, rp.code, rq.ranAfter(rp.ran))
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	if response.ContentLength < 0 || response.ContentLength > unguardedBytes {
		defer p.guardWrites(rq)()
	}
	rq.writer.WriteHeader(response.StatusCode)
	readErr, writeErr := copyBody(rq, response, record)
	switch {
	case readErr != nil && rq.incoming.Context().Err() != nil:
		rq.code = codes.CallerGone
		rp.done(false, false)
		panic(http.ErrAbortHandler)
	case readErr != nil:
		rq.code = codes.UpstreamTruncated
		event.RequestTruncated.Write(p.Log, zap.String("request_id", rq.id), zap.String("service", rq.service), zap.Error(readErr))
		rp.done(false, true)
		panic(http.ErrAbortHandler)
	case writeErr != nil:
		rq.code = codes.CallerGone
	default:
		complete = true
		rp.done(true, rp.ran == core.RanYes && response.StatusCode >= http.StatusInternalServerError)
		writeTrailer(header, response)
	}
}

// copyBody streams the body and separates the upstream's errors from the caller's.
func copyBody(rq *request, response *http.Response, record *recorder) (error, error) {
	held, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(held)
	flush := response.ContentLength < 0
	var writeErr error
	for {
		n, readErr := response.Body.Read(*held)
		record.write((*held)[:n])
		if n > 0 && writeErr == nil {
			_, writeErr = rq.writer.Write((*held)[:n])
			if flush && writeErr == nil {
				writeErr = http.NewResponseController(rq.writer).Flush()
			}
		}
		if readErr == io.EOF {
			return nil, writeErr
		}
		if readErr != nil {
			return readErr, writeErr
		}
		if writeErr != nil && !record.wanted() {
			return nil, writeErr
		}
	}
}

// writeEarly passes informational responses on.
func writeEarly(w http.ResponseWriter, early []*http.Response) {
	for _, response := range early {
		removeHopByHop(response.Header)
		maps.Copy(w.Header(), response.Header)
		w.WriteHeader(response.StatusCode)
		clear(w.Header())
	}
}

// writeTrailer sets the trailers, which are known only after the body.
func writeTrailer(header http.Header, response *http.Response) {
	announced := strings.Join(header["Trailer"], ",")
	for name, values := range response.Trailer {
		if !strings.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
}
