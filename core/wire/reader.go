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

// SmallBodyBytes is the largest body, in bytes, for which no memory is reserved.
const SmallBodyBytes = 4 << 10

// ErrTooLarge means that a body exceeds the limit; no part of it was read or written.
const ErrTooLarge = errors.ConstError("frame too large")

// ErrExhausted means that there is no memory for a body.
const ErrExhausted = errors.ConstError("no memory for the frame")

const (
	// partBytes is the part of a larger body, in bytes, for which memory is reserved before it is read.
	partBytes = 32 << 10
	// copies is the number of times that a body is in memory: as its buffer grows, and when it is decoded.
	copies = 2
)

// Reader reads frames from a stream.
type Reader struct {
	limit   int
	reserve func(bytes int64) bool
	stream  *bufio.Reader
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
	f := Frame{Kind: Kind(header[4])}
	// The buffer grows with the received bytes, so that a header alone cannot make the process allocate a large body.
	var body bytes.Buffer
	for remaining := int64(length); remaining > 0; {
		part := min(remaining, partBytes)
		if r.reserve != nil && length > SmallBodyBytes {
			if !r.reserve(copies * part) {
				return Frame{}, errors.Annotatef(ErrExhausted, "reading a body of %d bytes", length)
			}
			f.Reserved += copies * part
		}
		if _, err := io.CopyN(&body, r.stream, part); err != nil {
			return Frame{}, errors.Annotatef(noEOF(err), "reading a body of %d bytes", length)
		}
		remaining -= part
	}
	f.Body = body.Bytes()
	return f, nil
}

// SetLimit sets the largest accepted body, in bytes; it cannot exceed MaxBodyBytes.
func (r *Reader) SetLimit(limit int) {
	r.limit = min(limit, MaxBodyBytes)
}

// SetReserve sets a function that reserves memory for bodies as they arrive. What it has reserved for a body is the caller's to release,
// from Frame.Reserved or, after an error, all of it.
func (r *Reader) SetReserve(reserve func(bytes int64) bool) {
	r.reserve = reserve
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
