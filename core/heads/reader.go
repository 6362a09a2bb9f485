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
	// watch is called with the bytes of a head before they are returned; refusal is its error, which ends the head.
	watch   func(data []byte) error
	refusal error
}

var _ io.Reader = (*Reader)(nil)

// Begin starts a head of which at most limit bytes may be read.
func (r *Reader) Begin(limit int64) {
	r.inHead, r.remaining, r.watch, r.refusal = true, max(0, limit), nil, nil
}

// Watch calls watch with all bytes that are read until End or Begin. If watch returns an error, these and all further reads of the head
// fail with it.
func (r *Reader) Watch(watch func(data []byte) error) {
	r.watch = watch
}

// Refusal returns the error of the watch that ended the head, or nil. A parser may report another error, about the part of a line that
// it has read before.
func (r *Reader) Refusal() error { return r.refusal }

// End ends the head, so that the body is not limited.
func (r *Reader) End() {
	r.inHead, r.watch = false, nil
}

// Read implements io.Reader. All reads beyond the limit fail, because bufio drops an error that follows a part of a line.
func (r *Reader) Read(data []byte) (int, error) {
	if !r.inHead {
		return r.Source.Read(data)
	}
	if r.refusal != nil {
		return 0, r.refusal
	}
	if r.remaining == 0 {
		return 0, r.TooLarge
	}
	n, err := r.Source.Read(data[:min(int64(len(data)), r.remaining)])
	r.remaining -= int64(n)
	if r.watch == nil || n == 0 {
		return n, err
	}
	if r.refusal = r.watch(data[:n]); r.refusal != nil {
		return 0, r.refusal
	}
	return n, err
}
