package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/juju/errors"
)

// MaxBodyBytes is the largest body of a frame, in bytes.
const MaxBodyBytes = 1 << 20

// HeaderBytes is the size of the header of a frame, in bytes.
const HeaderBytes = 5

// ErrTooLarge means that a body exceeds the limit; no part of it was read or written.
const ErrTooLarge = errors.ConstError("frame too large")

// Reader reads frames from a stream.
type Reader struct {
	limit  int
	stream *bufio.Reader
}

// NewReader returns a Reader that accepts bodies of at most MaxBodyBytes.
func NewReader(stream io.Reader) *Reader {
	return &Reader{limit: MaxBodyBytes, stream: bufio.NewReader(stream)}
}

// Read returns the next frame, whose body belongs to the caller. It returns io.EOF only if the stream ends between frames.
func (r *Reader) Read() (Frame, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r.stream, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Frame{}, io.EOF
		}
		return Frame{}, errors.Annotate(err, "reading a frame header")
	}
	length := binary.BigEndian.Uint32(header[:4])
	if int64(length) > int64(r.limit) {
		return Frame{}, errors.Annotatef(ErrTooLarge, "body of %d bytes, limit %d", length, r.limit)
	}
	// The buffer grows with the received bytes, so that a header alone cannot make the process allocate a large body.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r.stream, int64(length)); err != nil {
		return Frame{}, errors.Annotatef(noEOF(err), "reading a body of %d bytes", length)
	}
	return Frame{Body: body.Bytes(), Kind: Kind(header[4])}, nil
}

// SetLimit sets the largest accepted body, in bytes; it cannot exceed MaxBodyBytes.
func (r *Reader) SetLimit(limit int) {
	r.limit = min(limit, MaxBodyBytes)
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
