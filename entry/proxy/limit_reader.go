package proxy

import (
	"io"

	"github.com/juju/errors"
)

// errBodyTooLarge means that a streamed body exceeds request_body_bytes.
const errBodyTooLarge = errors.ConstError("request body too large")

// limitReader fails when more than remaining bytes have been read.
type limitReader struct {
	remaining int64
	source    io.Reader
}

// Read implements io.Reader.
func (l *limitReader) Read(data []byte) (int, error) {
	n, err := l.source.Read(data)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
