package lines

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// queueLines is the capacity of the queue, in lines, and queueBytes in bytes.
	queueLines = 4096
	queueBytes = 2 << 20
	// syncTimeout limits the wait of Sync.
	syncTimeout = 500 * time.Millisecond
)

var _ zapcore.WriteSyncer = (*Writer)(nil)

// Writer writes lines to a possibly slow writer through a bounded queue. Lines that arrive while the queue is full are
// dropped and counted.
type Writer struct {
	// bytes is the size of the lines in the queue.
	bytes   atomic.Int64
	dropped atomic.Int64
	syncs   chan chan struct{}
	out     io.Writer
	queue   chan []byte
}

// NewWriter returns a Writer to out, which it never closes. Its goroutine runs until the process exits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{syncs: make(chan chan struct{}), out: out, queue: make(chan []byte, queueLines)}
	go w.run()
	return w
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Sync implements zapcore.WriteSyncer.Sync; it waits until all earlier lines are written, at most for syncTimeout.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case w.syncs <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

// Write implements io.Writer.Write; it never blocks and always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.bytes.Add(size) > queueBytes {
		w.drop(size)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.drop(size)
	}
	return len(line), nil
}

// drop counts a line of some bytes that is not in the queue.
func (w *Writer) drop(size int64) {
	w.bytes.Add(-size)
	w.dropped.Add(1)
}

// drain writes the lines that are currently queued.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.queue:
			w.put(line)
		default:
			return
		}
	}
}

func (w *Writer) put(line []byte) {
	defer w.bytes.Add(-int64(len(line)))
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.queue:
			w.put(line)
		case done := <-w.syncs:
			w.drain()
			close(done)
		}
	}
}
