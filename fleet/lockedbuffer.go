package fleet

import (
	"bytes"
	"sync"
)

// lockedBuffer is a buffer that the test may read while the process writes.
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
