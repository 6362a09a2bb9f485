package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/juju/errors"
)

// Writer writes frames to a buffered stream.
type Writer struct {
	stream *bufio.Writer
}

// NewWriter returns a Writer to stream.
func NewWriter(stream io.Writer) *Writer {
	return &Writer{stream: bufio.NewWriter(stream)}
}

// Flush writes the buffered frames to the stream.
func (w *Writer) Flush() error {
	return errors.Annotate(w.stream.Flush(), "flushing frames")
}

// Write buffers one frame. It returns ErrTooLarge for a body above MaxBodyBytes.
func (w *Writer) Write(f Frame) error {
	if len(f.Body) > MaxBodyBytes {
		return errors.Annotatef(ErrTooLarge, "body of %d bytes", len(f.Body))
	}
	var header [HeaderBytes]byte
	binary.BigEndian.PutUint32(header[:4], uint32(len(f.Body)))
	header[4] = byte(f.Kind)
	if _, err := w.stream.Write(header[:]); err != nil {
		return errors.Annotate(err, "writing a frame header")
	}
	_, err := w.stream.Write(f.Body)
	return errors.Annotate(err, "writing a frame body")
}
