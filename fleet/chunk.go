package fleet

import "time"

const (
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 16 << 10
	// maxBufferedChunks is the number of chunks that each direction of a connection buffers at most.
	maxBufferedChunks = 64
)

// chunk is the data of one read and the time at which it is delivered. Nil data marks the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}
