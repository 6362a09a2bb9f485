package proxy

import (
	"net/http"
	"time"
)

// upload writes a streamed request in its own goroutine while the response is awaited. A nil upload means that the
// request was written synchronously.
type upload struct {
	err      error
	finished chan struct{}
	writer   http.ResponseWriter
}

func startUpload(c *conn, out *http.Request, w http.ResponseWriter) *upload {
	u := &upload{finished: make(chan struct{}), writer: w}
	go func() {
		defer close(u.finished)
		u.err = c.send(out)
		if u.err != nil && !c.writeFailed {
			// The caller's body could not be read, so the upstream has no complete request to respond to.
			_ = c.socket.Close()
		}
	}()
	return u
}

// complete reports whether the whole body has been read and written.
func (u *upload) complete() bool {
	if u == nil {
		return false
	}
	select {
	case <-u.finished:
		return u.err == nil
	default:
		return false
	}
}

// finish stops the upload if it is still running, waits for it and reports whether it was complete.
func (u *upload) finish(c *conn) bool {
	if u == nil {
		return true
	}
	select {
	case <-u.finished:
		return u.err == nil
	default:
	}
	_ = c.socket.Close()
	_ = http.NewResponseController(u.writer).SetReadDeadline(time.Unix(1, 0))
	<-u.finished
	return false
}
