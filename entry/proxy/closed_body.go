package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// errUnproven means that a response ended with its connection in a way that does not prove that it is complete.
const errUnproven = errors.ConstError("the end of the connection does not prove that the response is complete")

// uploadEndTimeout is the time for which the end of a response waits for the end of the upload that may prove it.
const uploadEndTimeout = time.Second

// closedBody is the body of a response that has neither a length nor chunks, so that only the end of its connection is its end. All paths
// read it, because it takes the place of the body as soon as the head was read.
type closedBody struct {
	io.ReadCloser
	deadline core.Instant
	result   *attemptResult
}

// endsWithConnection reports whether the end of the connection is the only end of a response's body.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// Read implements io.Reader. It returns io.EOF only if the response is proven to be complete.
func (b *closedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF && !b.result.closedInOrder(b.deadline) {
		err = errUnproven
	}
	return n, err
}

// closedInOrder reports whether the upstream has closed the connection in order after it received the whole request. The kernel reports a
// reset once, to a write or to a read: after a failed write, the end that a read sees may be a reset. While the request is being written, that
// is not known yet.
func (r *attemptResult) closedInOrder(deadline core.Instant) bool {
	c := r.conn
	if !r.upload.awaitEnd(c.timer, min(uploadEndTimeout, deadline.Sub(c.timer.Now()))) {
		return false
	}
	return (r.upload == nil || r.upload.err == nil) && !c.writeFailed && !c.reset.Load() && !c.cancelled.Load()
}
