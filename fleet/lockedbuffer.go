package fleet

import (
	"bytes"
	"sync"
)

// lockedBuffer is a bytes.Buffer for concurrent use: a test reads it while a process writes to it.
type lockedBuffer struct {
	buffer bytes.Buffer
	mu     sync.Mutex
}

// String implements fmt.Stringer.String.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Write implements io.Writer.Write.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}
