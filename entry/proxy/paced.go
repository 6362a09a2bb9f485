package proxy

import (
	"context"
	"io"

	"github.com/juju/errors"
)

// linkHeadBytes is the size counted for the head of a request or response on the link between regions.
const linkHeadBytes = 512

// paceFunc blocks until n bytes may be sent over the link between two regions.
type paceFunc func(ctx context.Context, n int) error

// pacedBody delays each read until its bytes may be sent over the link. Only what fits into the kernel's buffers for
// one connection can arrive earlier.
type pacedBody struct {
	io.ReadCloser
	ctx  context.Context //nolint:containedctx // The reader lives as long as the request.
	pace paceFunc
}

// Read implements io.Reader.
func (b *pacedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if n > 0 {
		if paceErr := b.pace(b.ctx, n); paceErr != nil {
			return n, errors.Trace(paceErr)
		}
	}
	return n, err
}
