package proxy

import (
	"context"
	"io"

	"github.com/juju/errors"
)

// linkHeadBytes is what the head of a request or response is counted as on the link between regions.
const linkHeadBytes = 512

// paceFunc waits until n bytes may cross the link between two regions.
type paceFunc func(ctx context.Context, n int) error

// pacedBody delays each read until the bytes may cross the link; what the kernel has buffered for one connection is
// the most that can arrive earlier.
type pacedBody struct {
	io.ReadCloser
	ctx  context.Context //nolint:containedctx // The reader lives as long as the request.
	pace paceFunc
}

// Read implements io.Reader.Read.
func (b *pacedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if n > 0 {
		if paceErr := b.pace(b.ctx, n); paceErr != nil {
			return n, errors.Trace(paceErr)
		}
	}
	return n, err
}
