package fleet

import "time"

const (
	chunkBytes = 16 << 10
	// chunksInFlight bounds what a direction of a connection holds.
	chunksInFlight = 64
)

// chunk is what was read at once; no data stands for the end.
type chunk struct {
	data []byte
	due  time.Time
}
