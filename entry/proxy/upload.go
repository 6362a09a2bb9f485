package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"ebonyrouter.dev/core"
)

// upload writes a streamed request in its own goroutine while the response is awaited. A nil upload means that the
// request was written synchronously.
type upload struct {
	err      error
	finished chan struct{}
	// bodyFailed means that the caller's body could not be read, before this host has stopped the upload.
	bodyFailed bool
	stopped    atomic.Bool
	writer     http.ResponseWriter
}

func startUpload(c *conn, out *http.Request, w http.ResponseWriter) *upload {
	u := &upload{finished: make(chan struct{}), writer: w}
	go func() {
		u.err = c.send(out)
		u.bodyFailed = u.err != nil && !c.writeFailed && !u.stopped.Load()
		close(u.finished)
		if u.bodyFailed {
			// The upstream has no complete request to respond to.
			_ = c.socket.Close()
		}
	}()
	return u
}

// ended reports whether the upload has ended, so that its error and what it has recorded in its connection may be read.
func (u *upload) ended() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.finished:
		return true
	default:
		return false
	}
}

// awaitEnd waits for the end of the upload and reports whether it has ended.
func (u *upload) awaitEnd(timer core.Timer, timeout time.Duration) bool {
	if u.ended() {
		return true
	}
	select {
	case <-u.finished:
		return true
	case <-timer.After(timeout):
		return false
	}
}

// complete reports whether the whole body has been read and written.
func (u *upload) complete() bool {
	return u != nil && u.ended() && u.err == nil
}

// finish stops the upload if it is still running, waits for it and reports whether it was complete.
func (u *upload) finish(c *conn) bool {
	if u == nil {
		return true
	}
	if u.ended() {
		return u.err == nil
	}
	u.stopped.Store(true)
	_ = c.socket.Close()
	_ = http.NewResponseController(u.writer).SetReadDeadline(time.Unix(1, 0))
	<-u.finished
	return false
}
