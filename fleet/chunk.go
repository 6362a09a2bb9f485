package fleet

import "time"

const (
	// chunkBytes is the maximum size of a chunk in bytes.
	chunkBytes = 16 << 10
	// maxBufferedChunks is the maximum number of chunks that are buffered for each direction of a connection.
	maxBufferedChunks = 64
)

// chunk is the data of one read and the time at which it is delivered. Nil data marks the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}
