package intake

import "io"

// readCloser combines a reader and a closer.
type readCloser struct {
	io.Reader
	io.Closer
}

// trackedBody records in its exchange that the body has been read to its end. It is read by one goroutine at a time.
type trackedBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *trackedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF && !b.exchange.bodyRead() {
		if !b.exchange.chargeTrailer() {
			// A part of the request may have been forwarded, so that it cannot be refused. Trailers may be discarded.
			clear(b.exchange.request.Trailer)
		}
		close(b.exchange.bodyEnd)
	}
	return n, err
}
