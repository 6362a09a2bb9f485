package heads

import "io"

// Reader reads messages from Source and limits the size of their heads. Nothing is limited before the first call of Begin.
type Reader struct {
	Source io.Reader
	// TooLarge is the error of all reads beyond the limit of a head.
	TooLarge error

	// inHead is set while a head is read, of which remaining bytes may still be read.
	inHead    bool
	remaining int64
}

var _ io.Reader = (*Reader)(nil)

// Begin starts a head of which at most limit bytes may be read.
func (r *Reader) Begin(limit int64) {
	r.inHead, r.remaining = true, max(0, limit)
}

// End ends the head, so that the body is not limited.
func (r *Reader) End() {
	r.inHead = false
}

// Read implements io.Reader. All reads beyond the limit fail, because bufio drops an error that follows a part of a line.
func (r *Reader) Read(data []byte) (int, error) {
	if !r.inHead {
		return r.Source.Read(data)
	}
	if r.remaining == 0 {
		return 0, r.TooLarge
	}
	n, err := r.Source.Read(data[:min(int64(len(data)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
