package intake

import "io"

// readCloser reads from one value and closes another.
type readCloser struct {
	io.Reader
	io.Closer
}

// trackedBody notes in its exchange that a body has been read to its end.
type trackedBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.Read.
func (b *trackedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		b.exchange.bodyRead = true
	}
	return n, err
}
